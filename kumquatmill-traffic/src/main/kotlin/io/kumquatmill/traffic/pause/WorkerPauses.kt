package io.kumquatmill.traffic.pause

import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.model.WorkerLifetime
import io.kumquatmill.traffic.model.lifetime
import kotlin.math.min

/**
 * Pauses that workers have named to this host. They say nothing about other hosts, and hold beside the rates that workers take from all
 * hosts.
 *
 * A pause belongs to one lifetime of its worker and outlives the worker's entry. Nothing shortens it, as answers overtake each other; it
 * ends by itself.
 *
 * @param onChange called when a worker has named a pause, or a longer one
 */
internal class WorkerPauses(
    private val settings: PauseSettings = PauseSettings(),
    private val onChange: (PauseChange) -> Unit = { },
) {
    private val endsAtMs = HashMap<WorkerLifetime, Long>()

    /** Returns the time at which the pause of the worker of [entry] ends, which may be over; [Long.MIN_VALUE] without one. */
    fun endsAtMs(entry: WorkerEntry): Long = if (endsAtMs.isEmpty()) Long.MIN_VALUE else endsAtMs[entry.lifetime] ?: Long.MIN_VALUE

    /** Records that the worker of [entry] wants no requests from this host for [statedMs] milliseconds from now on. */
    fun onNamed(
        nowMs: Long,
        entry: WorkerEntry,
        statedMs: Long,
    ) {
        val pauseMs = min(statedMs, settings.maxPauseMs)
        val knownMs = endsAtMs(entry)
        val endMs = nowMs + pauseMs
        if (endMs <= knownMs) return
        endsAtMs[entry.lifetime] = endMs
        if (knownMs < nowMs || endMs > knownMs + settings.sameWithinMs) onChange(PauseChange(entry, pauseMs, statedMs))
    }

    /** Forgets pauses that are over; must be called regularly. */
    fun tick(nowMs: Long) {
        endsAtMs.values.removeIf { it <= nowMs }
    }
}

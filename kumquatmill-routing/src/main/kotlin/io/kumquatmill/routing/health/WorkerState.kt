package io.kumquatmill.routing.health

import io.kumquatmill.routing.model.Worker
import java.util.EnumSet
import kotlin.math.floor

/** What an entry host knows of one worker. */
internal class WorkerState(
    val worker: Worker,
) {
    var inFlight: Int = 0
    var consecutiveFailures: Int = 0
    var latencyMs: Double = 0.0
    var latencySamples: Int = 0
    var latencyAtMs: Long = 0
    var isEjected: Boolean = false
    var ejectedUntilMs: Long = 0
    var ejections: Int = 0
    var servingSinceMs: Long = Long.MIN_VALUE
    var rampStartedAtMs: Long? = null
    var rampRounding: Double = 0.0
    var load: WorkerLoad? = null
    var drainAnsweredAtMs: Long = 0
    var wasListed: Boolean = false
    val drainSources: EnumSet<DrainSource> = EnumSet.noneOf(DrainSource::class.java)

    val isDraining: Boolean
        get() = drainSources.isNotEmpty()

    /** Whether the worker may get only a part of the slots that are held, or none. */
    val isRestricted: Boolean
        get() = isDraining || isEjected || rampStartedAtMs != null

    fun recordLatency(
        nowMs: Long,
        sampleMs: Long,
    ) {
        latencyMs = if (latencySamples == 0) sampleMs.toDouble() else latencyMs + LATENCY_GAIN * (sampleMs - latencyMs)
        latencySamples += 1
        latencyAtMs = nowMs
    }

    fun clearLatency() {
        latencyMs = 0.0
        latencySamples = 0
    }

    /** Returns how many of [heldSlots] may be used at [nowMs]. */
    fun usableSlots(
        nowMs: Long,
        heldSlots: Int,
        settings: HealthSettings,
    ): Int =
        when {
            isDraining -> 0
            isEjected -> if (nowMs < ejectedUntilMs) 0 else minOf(1, heldSlots)
            else -> rampedSlots(nowMs, heldSlots, settings)
        }

    /** Rounds by a random part of each host, so that the sum over all hosts follows the ramp. */
    private fun rampedSlots(
        nowMs: Long,
        heldSlots: Int,
        settings: HealthSettings,
    ): Int {
        val startedAtMs = rampStartedAtMs ?: return heldSlots
        val elapsedPart = (nowMs - startedAtMs).toDouble() / settings.rampMs
        if (elapsedPart >= 1.0) {
            rampStartedAtMs = null
            return heldSlots
        }
        val part = settings.rampStartPart + (1.0 - settings.rampStartPart) * elapsedPart
        return floor(heldSlots * part + rampRounding).toInt().coerceAtMost(heldSlots)
    }

    private companion object {
        const val LATENCY_GAIN = 0.2
    }
}

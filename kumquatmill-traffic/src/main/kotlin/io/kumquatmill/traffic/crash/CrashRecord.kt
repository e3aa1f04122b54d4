package io.kumquatmill.traffic.crash

import io.kumquatmill.traffic.fleet.WorkerTag
import kotlin.math.max

/** What this host knows of one request under which workers have ended, from its own observations and from those of its peers. */
internal class CrashRecord(
    val fingerprint: RequestFingerprint,
    private val settings: CrashSettings,
) {
    /** The process of [worker] ended at [endedAtMs], [leadMs] after the request had been sent to it; [isOwn] if this host saw it. */
    class Crash(
        val worker: WorkerTag,
        val endedAtMs: Long,
        val leadMs: Long,
        val isOwn: Boolean,
    )

    /** Crashes that no response voids, in the order of their ends. */
    var crashes: List<Crash> = emptyList()
        private set

    /** Number of [crashes], of which those at about the same time count as one. */
    var crashCount = 0
        private set

    /** Whether the request is kept away from workers. */
    var isQuarantined = false

    /** Time of the last known response to the request, or null if none is known. */
    var completedAtMs: Long? = null
        private set

    /** Time until which peers are told of [completedAtMs]. */
    var completionReportedUntilMs = Long.MIN_VALUE

    /** Time of the last crash, response or refusal. */
    var lastUsedAtMs = Long.MIN_VALUE

    /** Mean time from the sending of the request to the end of the worker; a request that ends its workers does so soon. */
    val meanLeadMs: Double
        get() = crashes.map { it.leadMs }.average()

    /** Returns whether a later response shows that the request did not cause what happened at [atMs]. */
    fun isVoid(atMs: Long): Boolean = completedAtMs?.let { atMs <= it } ?: false

    /** Adds the end of a worker's process; returns false if it is known. */
    fun addCrash(crash: Crash): Boolean {
        if (crashes.any { it.worker == crash.worker }) return false
        val added = (crashes + crash).sortedBy { it.endedAtMs }
        setCrashes(if (added.size <= MAX_CRASHES) added else added.take(MAX_CRASHES - 1) + added.last())
        return true
    }

    /** Applies a response to the request, which voids all earlier crashes. */
    fun onCompleted(atMs: Long) {
        completedAtMs = max(completedAtMs ?: atMs, atMs)
        setCrashes(crashes.filterNot { isVoid(it.endedAtMs) })
    }

    /** Forgets what happened before [beforeMs]; returns whether anything was forgotten. */
    fun expire(beforeMs: Long): Boolean {
        val isCompletionExpired = completedAtMs?.let { it < beforeMs } ?: false
        if (isCompletionExpired) completedAtMs = null
        val kept = crashes.filter { it.endedAtMs >= beforeMs }
        val isExpired = isCompletionExpired || kept.size < crashes.size
        if (isExpired) setCrashes(kept)
        return isExpired
    }

    /** Returns the crashes at workers that are not in [explained], of which those at about the same time count as one. */
    fun spacedCrashes(explained: Set<WorkerTag> = emptySet()): List<Crash> {
        val spaced = ArrayList<Crash>()
        crashes.forEach { crash ->
            val isSpaced = spaced.isEmpty() || crash.endedAtMs - spaced.last().endedAtMs >= settings.crashSpacingMs
            if (isSpaced && crash.worker !in explained) spaced += crash
        }
        return spaced
    }

    private fun setCrashes(crashes: List<Crash>) {
        this.crashes = crashes
        crashCount = spacedCrashes().size
    }

    private companion object {
        const val MAX_CRASHES = 16
    }
}

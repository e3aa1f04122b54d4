package io.kumquatmill.node

/**
 * Steps of a planned stop: leave the look-ups, serve callers that have not looked up again, end all requests, hand over.
 */
internal class PlannedStop(
    private val settings: RequestSettings,
) {
    private var startedAtMs: Long? = null
    private var hasDeparted = false

    val isStarted: Boolean
        get() = startedAtMs != null

    fun start(nowMs: Long) {
        startedAtMs = startedAtMs ?: nowMs
    }

    /** Returns whether new requests are refused, because callers have had the time to look up other hosts. */
    fun refusesRequests(nowMs: Long): Boolean = startedAtMs?.let { nowMs - it >= settings.drainMs } ?: false

    /** Returns true once, when the host may give its shares away. */
    fun isDepartureDue(
        nowMs: Long,
        openRequests: Int,
    ): Boolean {
        val sinceMs = startedAtMs ?: return false
        val isDrained = refusesRequests(nowMs) && openRequests == 0
        if (hasDeparted || !(isDrained || nowMs - sinceMs >= settings.maxDrainMs)) return false
        hasDeparted = true
        return true
    }
}

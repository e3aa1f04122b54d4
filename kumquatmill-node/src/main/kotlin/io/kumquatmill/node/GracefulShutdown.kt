package io.kumquatmill.node

/**
 * Schedule of a graceful shutdown.
 *
 * The host is withdrawn from lookups first and keeps serving callers that still use an earlier lookup result. It then
 * refuses new requests, waits until its active requests have ended and hands its shares over to other hosts.
 */
internal class GracefulShutdown(
    private val settings: RequestSettings,
) {
    private var startedAtMs: Long? = null
    private var hasStartedHandOver = false

    val isStarted: Boolean
        get() = startedAtMs != null

    fun start(nowMs: Long) {
        startedAtMs = startedAtMs ?: nowMs
    }

    /** Returns whether new requests are refused, because callers have had enough time to look up other hosts. */
    fun refusesNewRequests(nowMs: Long): Boolean = startedAtMs?.let { nowMs - it >= settings.drainMs } ?: false

    /**
     * Starts the handover of shares once the host has drained or the drain has timed out.
     *
     * Returns true only on the call that starts it.
     */
    fun startHandOverIfDue(
        nowMs: Long,
        activeRequestCount: Int,
    ): Boolean {
        val startMs = startedAtMs ?: return false
        val isDrained = refusesNewRequests(nowMs) && activeRequestCount == 0
        if (hasStartedHandOver || !(isDrained || nowMs - startMs >= settings.maxDrainMs)) return false
        hasStartedHandOver = true
        return true
    }
}

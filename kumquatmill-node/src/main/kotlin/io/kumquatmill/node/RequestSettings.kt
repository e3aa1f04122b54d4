package io.kumquatmill.node

/** Times that bound how an entry host treats requests. */
data class RequestSettings(
    /** Time after which a caller may come back when nothing better is known. */
    val retryAfterMs: Long = 1_000,
    /** Longest time that a request waits for its workspace's rate. */
    val rateWaitMs: Long = 1_000,
    /** Time beyond the deadline of an attempt for which its slot stays taken when its end is not known. */
    val slotHoldMarginMs: Long = 500,
    /** Time for which a leaving host takes requests from callers that have not looked up again. */
    val drainMs: Long = 6_000,
    /** Longest time that a leaving host waits for its requests to end. */
    val maxDrainMs: Long = 30_000,
) {
    init {
        require(rateWaitMs >= 0) { "rateWaitMs is $rateWaitMs, expected 0 or more: correct the settings" }
    }
}

package io.kumquatmill.node

/** Timing of how an entry host handles requests. */
data class RequestSettings(
    /** Delay after which a refused caller may retry, when no better estimate is available. */
    val retryAfterMs: Long = 1_000,
    /** Longest time for which a request waits for a rate token of its workspace. */
    val rateWaitMs: Long = 1_000,
    /** Time past the deadline of an attempt for which its slot stays occupied when its end was not observed. */
    val slotReleaseMarginMs: Long = 500,
    /** Time for which a host that shuts down still accepts requests, from callers that use an earlier lookup result. */
    val drainMs: Long = 6_000,
    /** Longest time for which a host that shuts down waits for its active requests to end, from the start of the shutdown. */
    val maxDrainMs: Long = 30_000,
) {
    init {
        require(rateWaitMs >= 0) { "rateWaitMs is $rateWaitMs, expected 0 or more: correct the settings" }
    }
}

package io.kumquatmill.bench.policy

/** Token bucket that refills at [ratePerS] up to [burst] tokens and is full at first. */
internal class TokenBucket(
    private val ratePerS: Double,
    private val burst: Double,
) {
    private var tokens = burst
    private var lastMs = 0L

    /** Takes one token at [nowMs]; returns false if there is none. */
    fun tryTake(nowMs: Long): Boolean {
        tokens = minOf(burst, tokens + ratePerS * (nowMs - lastMs) / MS_PER_S)
        lastMs = nowMs
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}

package io.kumquatmill.bench.policy

/** A full token bucket of [ratePerS] and [burst]. */
internal class HostBucket(
    private val ratePerS: Double,
    private val burst: Double,
) {
    private var level = burst
    private var lastMs = 0L

    /** Takes one token at [nowMs] if there is one. */
    fun tryTake(nowMs: Long): Boolean {
        level = minOf(burst, level + ratePerS * (nowMs - lastMs) / MS_PER_S)
        lastMs = nowMs
        if (level < 1) return false
        level -= 1
        return true
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}

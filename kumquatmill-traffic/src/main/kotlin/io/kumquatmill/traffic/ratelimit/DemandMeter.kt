package io.kumquatmill.traffic.ratelimit

import kotlin.math.exp

/** Measures an event rate as an exponentially decaying average with a time constant of [windowMs] milliseconds. */
class DemandMeter(
    private val windowMs: Double = DEFAULT_WINDOW_MS,
) {
    private var decayedCount = 0.0
    private var updatedAtMs = Long.MIN_VALUE

    /** Counts [amount] events at [nowMs]. */
    fun count(
        nowMs: Long,
        amount: Double = 1.0,
    ) {
        decay(nowMs)
        decayedCount += amount
    }

    /** Returns the rate in events per second. */
    fun ratePerS(nowMs: Long): Double {
        decay(nowMs)
        return decayedCount / windowMs * MILLIS_PER_SECOND
    }

    /** Returns a separate meter with the same count. */
    fun copy(): DemandMeter =
        DemandMeter(windowMs).also {
            it.decayedCount = decayedCount
            it.updatedAtMs = updatedAtMs
        }

    private fun decay(nowMs: Long) {
        if (updatedAtMs != Long.MIN_VALUE && nowMs > updatedAtMs) decayedCount *= exp(-(nowMs - updatedAtMs) / windowMs)
        if (nowMs > updatedAtMs) updatedAtMs = nowMs
    }

    private companion object {
        /** Long enough to smooth single arrivals, and short compared to the window over which rate limits are checked. */
        const val DEFAULT_WINDOW_MS = 2_000.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

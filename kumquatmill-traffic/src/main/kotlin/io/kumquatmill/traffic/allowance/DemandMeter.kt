package io.kumquatmill.traffic.allowance

import kotlin.math.exp

/** Measures the rate of events as an average that forgets with time constant [windowMs]. */
class DemandMeter(
    private val windowMs: Double = DEFAULT_WINDOW_MS,
) {
    private var weight = 0.0
    private var updatedAtMs = Long.MIN_VALUE

    /** Counts [amount] events at [nowMs]. */
    fun count(
        nowMs: Long,
        amount: Double = 1.0,
    ) {
        decay(nowMs)
        weight += amount
    }

    /** Returns events a second. */
    fun ratePerS(nowMs: Long): Double {
        decay(nowMs)
        return weight / windowMs * MILLIS_PER_SECOND
    }

    private fun decay(nowMs: Long) {
        if (updatedAtMs != Long.MIN_VALUE && nowMs > updatedAtMs) weight *= exp(-(nowMs - updatedAtMs) / windowMs)
        if (nowMs > updatedAtMs) updatedAtMs = nowMs
    }

    private companion object {
        /** Long enough to smooth single arrivals, short against the window in which allowances are judged. */
        const val DEFAULT_WINDOW_MS = 2_000.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

package io.kumquatmill.limits.ledger

import kotlin.math.exp

/** Exponentially weighted moving average of demand in tokens per second, with time constant [windowMs]. */
internal class DemandRate(
    private val windowMs: Long,
) {
    private var ratePerS = 0.0
    private var updatedAtMs = Long.MIN_VALUE

    /** Time of the last demand, or null if there has been none. */
    val lastDemandAtMs: Long?
        get() = updatedAtMs.takeIf { it != Long.MIN_VALUE }

    fun add(
        nowMs: Long,
        amount: Long,
    ) {
        ratePerS = ratePerS(nowMs) + amount * MILLIS_PER_SECOND / windowMs
        updatedAtMs = nowMs
    }

    fun ratePerS(nowMs: Long): Double {
        if (updatedAtMs == Long.MIN_VALUE) return 0.0
        val elapsedMs = (nowMs - updatedAtMs).coerceAtLeast(0)
        return ratePerS * exp(-elapsedMs.toDouble() / windowMs)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}

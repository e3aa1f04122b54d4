package io.kumquatmill.limits.ledger

import kotlin.math.max
import kotlin.math.min

/** Checks that no time window of any length contains more than rate x window + burst takes. */
internal class WindowChecker(
    private val ratePerS: Double,
    private val burst: Double,
) {
    private var count = 0L
    private var minBalance = Double.POSITIVE_INFINITY
    private var lastMs = Long.MIN_VALUE

    /** Maximum number of takes above the limit in any window so far; not positive if the limit was never exceeded. */
    var maxExcess: Double = Double.NEGATIVE_INFINITY
        private set

    fun take(
        nowMs: Long,
        amount: Long,
    ) {
        require(nowMs >= lastMs) { "takes must be recorded in chronological order" }
        lastMs = nowMs
        val refilled = ratePerS * nowMs / 1000.0
        minBalance = min(minBalance, count - refilled)
        count += amount
        maxExcess = max(maxExcess, count - refilled - minBalance - burst)
    }
}

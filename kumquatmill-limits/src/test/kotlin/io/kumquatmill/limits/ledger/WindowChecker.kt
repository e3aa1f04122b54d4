package io.kumquatmill.limits.ledger

import kotlin.math.max
import kotlin.math.min

/** Checks that no window of any length holds more than rate x window + burst takes. */
internal class WindowChecker(
    private val ratePerS: Double,
    private val burst: Double,
) {
    private var count = 0L
    private var lowest = Double.POSITIVE_INFINITY
    private var lastMs = Long.MIN_VALUE

    /** Most takes beyond the burst in any window so far; not positive if the limit was kept. */
    var worstExcess: Double = Double.NEGATIVE_INFINITY
        private set

    fun take(
        nowMs: Long,
        amount: Long,
    ) {
        require(nowMs >= lastMs) { "takes must come in the order of time" }
        lastMs = nowMs
        val refilled = ratePerS * nowMs / 1000.0
        lowest = min(lowest, count - refilled)
        count += amount
        worstExcess = max(worstExcess, count - refilled - lowest - burst)
    }
}

package io.kumquatmill.routing.model

/**
 * Limits how fast traffic may shift from one region to another, over all entry hosts together.
 *
 * In each interval of [intervalMs], the traffic served in the other region may exceed its peak over the last
 * [lookbackIntervals] intervals by at most [requestsPerS]. Caches in that region are assumed to be warm for that peak.
 */
data class ShiftCap(
    val requestsPerS: Double,
    val intervalMs: Long,
    val lookbackIntervals: Int = DEFAULT_LOOKBACK_INTERVALS,
) {
    companion object {
        const val DEFAULT_LOOKBACK_INTERVALS: Int = 2
    }
}

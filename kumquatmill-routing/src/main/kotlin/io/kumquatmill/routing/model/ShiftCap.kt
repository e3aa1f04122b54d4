package io.kumquatmill.routing.model

/**
 * Cap on shifts of traffic between two regions, over all entry hosts together.
 *
 * In each interval of [intervalMs], the traffic moved to another region may grow by at most [requestsPerS] against the
 * greatest of the last [memoryIntervals] intervals, for which the caches there count as warm.
 */
data class ShiftCap(
    val requestsPerS: Double,
    val intervalMs: Long,
    val memoryIntervals: Int = DEFAULT_MEMORY_INTERVALS,
) {
    companion object {
        const val DEFAULT_MEMORY_INTERVALS: Int = 2
    }
}

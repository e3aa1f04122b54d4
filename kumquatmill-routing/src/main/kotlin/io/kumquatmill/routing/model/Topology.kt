package io.kumquatmill.routing.model

import io.kumquatmill.common.id.RegionId

/** Workers, routes and links that an entry host may use, from its settings. */
data class Topology(
    val routes: List<Route>,
    val workers: List<Worker>,
    val links: List<Link>,
    val shiftCap: ShiftCap,
)

/** A link between two regions, shared by all traffic; [megabitsPerS] holds in each direction. */
data class Link(
    val from: RegionId,
    val to: RegionId,
    val megabitsPerS: Double,
)

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

package io.kumquatmill.traffic.admission

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.model.TrafficRoute

/**
 * A request that [CapacityAdmission] decides on.
 *
 * @property priorityRank rank of the route's priority among all routes; 0 is the highest
 * @property effectiveRank rank of the request's [EffectivePriorities]; 0 is the highest
 * @property elapsedMs estimated time in milliseconds since the caller's first attempt
 */
class AdmissionRequest(
    val route: TrafficRoute,
    val upstream: UpstreamId,
    val priorityRank: Int,
    val effectiveRank: Int,
    val elapsedMs: Long,
) {
    /** Latest decision on the request, or null before the first. */
    var decision: AdmissionDecision? = null
        internal set

    /** Shortest service time in milliseconds at the workers that were considered, or null if there was none. */
    internal var serviceMs: Double? = null

    /** Longest wait in milliseconds that the request tolerates at one of these workers. */
    internal var toleranceMs: Double = 0.0
}

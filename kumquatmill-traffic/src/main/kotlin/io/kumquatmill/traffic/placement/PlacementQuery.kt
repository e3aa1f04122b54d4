package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.model.TrafficRoute

/**
 * A request that needs a worker.
 *
 * @property keyHash hash of the object's key, or of the request where it has none
 * @property isKeyed whether [keyHash] belongs to an object that other requests share
 * @property requestHash hash of the request itself
 * @property isReturning whether the caller came back after an earlier answer
 * @property homeRegions regions in which it may run; null means all
 * @property triedWorkers workers that had it already
 * @property timeLeftMs time until its answer is no longer wanted
 * @property rank rank of the route's urgency, 0 is the most urgent
 */
data class PlacementQuery(
    val route: TrafficRoute,
    val upstream: UpstreamId,
    val keyHash: Long,
    val isKeyed: Boolean,
    val requestHash: Long,
    val isReturning: Boolean,
    val homeRegions: Set<RegionId>?,
    val triedWorkers: Set<WorkerId>,
    val timeLeftMs: Long,
    val rank: Int,
)

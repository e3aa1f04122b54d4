package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.admission.AdmissionRequest
import io.kumquatmill.traffic.model.TrafficRoute

/**
 * A request that needs a worker.
 *
 * @property affinityHash hash of the request's affinity key, or of the request itself if it has none
 * @property hasAffinityKey whether the request has an affinity key, which identifies an object that other requests share
 * @property requestHash hash of the request itself
 * @property isCallerRetry whether the caller has probably sent the request before
 * @property homeRegions regions in which the request may be executed; null means all
 * @property triedWorkers workers to which the request was already sent
 * @property timeLeftMs time until the request's deadline in milliseconds
 * @property priorityRank rank of the route's priority; 0 is the highest
 * @property admission the request as admission by cost sees it, or null if that is off
 * @property isPreview whether the query belongs to no request, so that nothing is kept of it
 */
data class PlacementQuery(
    val route: TrafficRoute,
    val upstream: UpstreamId,
    val affinityHash: Long,
    val hasAffinityKey: Boolean,
    val requestHash: Long,
    val isCallerRetry: Boolean,
    val homeRegions: Set<RegionId>?,
    val triedWorkers: Set<WorkerId>,
    val timeLeftMs: Long,
    val priorityRank: Int,
    val admission: AdmissionRequest? = null,
    val isPreview: Boolean = false,
)

package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RouteId

/**
 * A route of the desired state: requests for [host] whose path starts with [pathPrefix].
 *
 * @property isRepeatable whether a request may run more than once
 * @property isOpen whether a request needs no key
 * @property isAffine whether a worker that handled an object lately is faster with it
 * @property timeoutMs longest time that a caller is kept waiting, or null for the caller's own deadline
 * @property targetLatencyMs time within which an answer has its full benefit
 * @property maxAttempts most workers to which one request may be sent
 * @property priority rank, 0 is the most urgent
 * @property homeRegions regions in which a request may run; empty means all
 */
data class TrafficRoute(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val parts: List<RoutePart>,
    val isRepeatable: Boolean,
    val isOpen: Boolean,
    val isAffine: Boolean,
    val timeoutMs: Long?,
    val targetLatencyMs: Long,
    val maxAttempts: Int,
    val priority: Int,
    val homeRegions: Set<RegionId>,
)

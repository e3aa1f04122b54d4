package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RouteId

/**
 * A route of the desired state, which matches requests for [host] whose path starts with [pathPrefix].
 *
 * @property isIdempotent whether a request may be executed more than once
 * @property isPublic whether requests need no key
 * @property hasAffinity whether a worker is faster with an object that it handled recently
 * @property timeoutMs maximum time in milliseconds until the caller gets a response, or null to apply only the caller's own deadline
 * @property targetLatencyMs latency in milliseconds within which responses should arrive; a later one is of less use to the caller
 * @property maxAttempts maximum number of workers that may execute one request
 * @property priority priority of the requests; 0 is the highest
 * @property homeRegions regions in which a request may be executed; empty means all
 * @property isBulk whether responses are large, so that a late one is still useful
 */
data class TrafficRoute(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val weightedUpstreams: List<WeightedUpstream>,
    val isIdempotent: Boolean,
    val isPublic: Boolean,
    val hasAffinity: Boolean,
    val timeoutMs: Long?,
    val targetLatencyMs: Long,
    val maxAttempts: Int,
    val priority: Int,
    val homeRegions: Set<RegionId>,
    val isBulk: Boolean = false,
)

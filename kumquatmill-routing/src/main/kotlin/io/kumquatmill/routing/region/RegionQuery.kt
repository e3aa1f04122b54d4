package io.kumquatmill.routing.region

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId

/**
 * A query for a worker of [upstream] in any region.
 *
 * [requestBytes] and [responseBytes] are the sizes of the request and of its expected response. [origin] is the caller's region,
 * or null for that of the entry host. [excludedWorkers] are never selected. [isRepeated] is true if there was a query for the
 * same request before, on an earlier attempt or from the queue; such a query is not counted again as demand of the region.
 */
data class RegionQuery(
    val upstream: UpstreamId,
    val requestBytes: Long,
    val responseBytes: Long,
    val origin: RegionId? = null,
    val excludedWorkers: Set<WorkerId> = emptySet(),
    val isRepeated: Boolean = false,
)

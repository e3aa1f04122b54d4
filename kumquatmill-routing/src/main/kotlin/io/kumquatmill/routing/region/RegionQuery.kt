package io.kumquatmill.routing.region

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId

/**
 * A search for a worker of [upstream] in any region.
 *
 * [origin] is the region that the caller belongs to, null for that of the entry host. [excluded] workers were tried
 * already. [isRetry] is true when the same request was searched for before, in a retry or from the queue.
 */
data class RegionQuery(
    val upstream: UpstreamId,
    val requestBytes: Long,
    val answerBytes: Long,
    val origin: RegionId? = null,
    val excluded: Set<WorkerId> = emptySet(),
    val isRetry: Boolean = false,
)

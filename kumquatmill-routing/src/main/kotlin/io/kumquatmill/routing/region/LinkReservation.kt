package io.kumquatmill.routing.region

import io.kumquatmill.common.id.RegionId

/** Link capacity for a request: [requestBytes] from [from] to [to], and [responseBytes] back for the expected response. */
data class LinkReservation(
    val from: RegionId,
    val to: RegionId,
    val requestBytes: Long,
    val responseBytes: Long,
)

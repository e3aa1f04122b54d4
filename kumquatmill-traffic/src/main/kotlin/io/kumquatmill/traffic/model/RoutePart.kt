package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.UpstreamId

/** One upstream of a route and its part of the route's requests, in proportion to the other parts' [weight]. */
data class RoutePart(
    val upstream: UpstreamId,
    val weight: Double,
)

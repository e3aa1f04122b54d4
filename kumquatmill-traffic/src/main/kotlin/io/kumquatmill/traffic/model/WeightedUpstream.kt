package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.UpstreamId

/** An upstream of a route, which receives requests in proportion to its [weight] among the weights of all upstreams of the route. */
data class WeightedUpstream(
    val upstream: UpstreamId,
    val weight: Double,
)

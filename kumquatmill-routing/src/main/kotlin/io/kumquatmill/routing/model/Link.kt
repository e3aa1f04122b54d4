package io.kumquatmill.routing.model

import io.kumquatmill.common.id.RegionId

/** A network link between two regions, shared by all traffic. Its capacity is [megabitsPerS] in each direction. */
data class Link(
    val from: RegionId,
    val to: RegionId,
    val megabitsPerS: Double,
)

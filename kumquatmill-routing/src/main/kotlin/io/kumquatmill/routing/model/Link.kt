package io.kumquatmill.routing.model

import io.kumquatmill.common.id.RegionId

/** A link between two regions, shared by all traffic; [megabitsPerS] holds in each direction. */
data class Link(
    val from: RegionId,
    val to: RegionId,
    val megabitsPerS: Double,
)

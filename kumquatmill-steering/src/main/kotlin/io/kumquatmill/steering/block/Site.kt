package io.kumquatmill.steering.block

import io.kumquatmill.common.id.RegionId

/** A region as a target of client blocks; [capacity] is in the unit of the blocks' loads. */
data class Site(
    val region: RegionId,
    val capacity: Double,
    val isUp: Boolean = true,
)

package io.kumquatmill.steering.block

import io.kumquatmill.common.id.RegionId

/** A region to which client blocks can be assigned; [capacity] is in the same unit as the loads of the blocks. */
data class TargetRegion(
    val region: RegionId,
    val capacity: Double,
    val isUp: Boolean = true,
)

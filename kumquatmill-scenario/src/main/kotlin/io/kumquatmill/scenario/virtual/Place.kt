package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId

/** Where a party of the scenario is; [name] is unique among all parties. */
data class Place(
    val name: String,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
)

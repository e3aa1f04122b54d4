package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId

/** An entry host, a worker or the store in the simulated network; [name] is unique among all of them. */
data class Endpoint(
    val name: String,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
)

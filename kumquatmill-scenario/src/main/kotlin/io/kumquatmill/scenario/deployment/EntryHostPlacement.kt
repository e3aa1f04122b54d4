package io.kumquatmill.scenario.deployment

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId

/** Region and availability zone of an entry host. */
data class EntryHostPlacement(
    val host: HostId,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
)

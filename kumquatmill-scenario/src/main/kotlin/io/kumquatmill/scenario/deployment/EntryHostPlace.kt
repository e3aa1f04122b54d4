package io.kumquatmill.scenario.deployment

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId

/** Name and place of an entry host. */
data class EntryHostPlace(
    val host: HostId,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
)

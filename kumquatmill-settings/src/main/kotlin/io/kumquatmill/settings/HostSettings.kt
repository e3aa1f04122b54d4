package io.kumquatmill.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId

/** Who this entry host is and where it listens. */
data class HostSettings(
    val id: HostId,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
    val callerAddress: HostAddress,
    val peerAddress: HostAddress,
)

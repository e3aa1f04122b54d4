package io.kumquatmill.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId

/**
 * Identity, location and listening addresses of this entry host.
 *
 * @property callerAddress address on which callers connect.
 * @property peerAddress address on which other entry hosts connect.
 */
data class HostSettings(
    val id: HostId,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
    val callerAddress: HostAddress,
    val peerAddress: HostAddress,
)

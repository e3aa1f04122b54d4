package io.kumquatmill.common.fleet

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.RegionId
import kotlinx.serialization.Serializable

/**
 * One incarnation of an entry host, with its location and addresses.
 *
 * @property callerAddress address at which the host accepts requests from callers.
 * @property peerAddress address at which the host accepts messages from other entry hosts.
 */
@Serializable
data class Member(
    val host: HostId,
    val incarnation: Incarnation,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
    val callerAddress: HostAddress,
    val peerAddress: HostAddress,
)

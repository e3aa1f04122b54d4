package io.kumquatmill.membership

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.RegionId

/** Identity, location and addresses of an entry host, from its settings. */
data class HostDescription(
    val host: HostId,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
    val callerAddress: HostAddress,
    val peerAddress: HostAddress,
) {
    /** Returns this host as a member with [incarnation]. */
    fun member(incarnation: Incarnation): Member = Member(host, incarnation, region, availabilityZone, callerAddress, peerAddress)
}

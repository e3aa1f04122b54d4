package io.kumquatmill.membership

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.membership.fake.stred
import io.kumquatmill.membership.fake.vychod
import io.kumquatmill.membership.fake.zapad

/** Returns a member with the given identity and fixed addresses. */
internal fun testMember(
    name: String,
    incarnation: Long = 1,
    region: RegionId = zapad,
) = Member(
    HostId(name),
    Incarnation(incarnation),
    region,
    AvailabilityZoneId("$region-1"),
    HostAddress("10.0.0.1", 8080),
    HostAddress("fd00::1", 9090),
)

/** Returns [count] members spread over three regions. */
internal fun testMembers(count: Int) = (0 until count).map { testMember("entry-$it", region = listOf(zapad, stred, vychod)[it % 3]) }

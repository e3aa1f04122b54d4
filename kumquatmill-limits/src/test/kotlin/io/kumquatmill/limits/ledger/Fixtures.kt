package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.fleet.RosterView
import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.RegionId

internal val REGIONS = listOf("zapad", "stred", "vychod").map(::RegionId)

internal fun host(index: Int) = HostId("host-$index")

internal fun member(
    index: Int,
    incarnation: Long = 1,
    regions: List<RegionId> = REGIONS,
) = Member(
    host = host(index),
    incarnation = Incarnation(incarnation),
    region = regions[index % regions.size],
    availabilityZone = AvailabilityZoneId("zone-${index % 6}"),
    callerAddress = HostAddress("127.0.0.1", 8000 + index),
    peerAddress = HostAddress("127.0.0.1", 9000 + index),
)

internal val SEVEN_MEMBERS = (1..7).map { member(it) }

internal fun settled(
    members: List<Member>,
    epoch: Long = 1,
) = RosterView(epoch, RosterPhase.SETTLED, members, members)

internal fun prepared(
    members: List<Member>,
    previous: List<Member>,
    epoch: Long,
) = RosterView(epoch, RosterPhase.PREPARED, members, previous)

internal fun RosterView.validUntil(ms: Long) = Standing(this, ms)

internal fun ShareLedger.takeAll(
    nowMs: Long,
    limit: LimitId,
): Int = generateSequence { tryTake(nowMs, limit) }.takeWhile { it is TakeResult.Taken }.count()

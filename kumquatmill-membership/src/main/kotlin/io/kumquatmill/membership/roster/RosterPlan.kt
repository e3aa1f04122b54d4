package io.kumquatmill.membership.roster

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.record.HostRecord
import io.kumquatmill.membership.record.HostRecordState
import io.kumquatmill.membership.record.RosterDocument
import io.kumquatmill.membership.store.DecodedEntry

/**
 * Returns the members that the roster should have, sorted by host.
 *
 * Members with a record stay, under the newer incarnation of member and record. A member without a record stays unless
 * [isEvictable]. Hosts with a live record join.
 */
internal fun plannedMembers(
    members: List<Member>,
    records: Map<HostId, DecodedEntry<HostRecord>>,
    isEvictable: (HostId) -> Boolean,
): List<Member> {
    val hosts = members.mapTo(mutableSetOf()) { it.host }
    val remaining =
        members.mapNotNull { member ->
            val record = records[member.host]?.value
            if (record == null) member.takeUnless { isEvictable(it.host) } else newerMember(member, record)
        }
    val joining =
        records.values
            .map { it.value }
            .filter { it.state == HostRecordState.LIVE && it.member.host !in hosts }
            .map { it.member }
    return (remaining + joining).sortedBy { it.host }
}

private fun newerMember(
    member: Member,
    record: HostRecord,
): Member = if (record.member.incarnation > member.incarnation) record.member else member

/** Returns the first roster; it is settled at once because no host had standing before. */
internal fun firstRoster(
    members: List<Member>,
    maxWitnessCount: Int,
): RosterDocument =
    RosterDocument(
        epoch = 1,
        phase = RosterPhase.SETTLED,
        members = members,
        witnesses = selectWitnesses(members, maxWitnessCount),
    )

/** Returns the next epoch of this roster with [newMembers], in the prepared phase. */
internal fun RosterDocument.preparedChangeTo(
    newMembers: List<Member>,
    proposer: HostId,
    maxWitnessCount: Int,
): RosterDocument {
    val before = members.toSet()
    val after = newMembers.toSet()
    return RosterDocument(
        epoch = epoch + 1,
        phase = RosterPhase.PREPARED,
        members = newMembers,
        witnesses = selectWitnesses(newMembers, maxWitnessCount),
        joined = (after - before).mapTo(mutableSetOf()) { it.host },
        removed = (before - after).toList(),
        previousWitnesses = witnesses,
        proposer = proposer,
    )
}

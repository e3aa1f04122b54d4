package io.kumquatmill.membership.roster

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.record.HostRecord
import io.kumquatmill.membership.record.HostRecordState
import io.kumquatmill.membership.record.RosterDocument
import io.kumquatmill.membership.store.Stored

/**
 * Returns the members that the roster should have.
 *
 * Members with a record stay, under the incarnation of the record. A member without one stays unless [isEvictable].
 * Live hosts with a record join.
 */
internal fun plannedMembers(
    members: List<Member>,
    records: Map<HostId, Stored<HostRecord>>,
    isEvictable: (HostId) -> Boolean,
): List<Member> {
    val hosts = members.mapTo(mutableSetOf()) { it.host }
    val remaining =
        members.mapNotNull { member ->
            val record = records[member.host]?.value
            if (record == null) member.takeUnless { isEvictable(it.host) } else newest(member, record)
        }
    val joining =
        records.values
            .map { it.value }
            .filter { it.state == HostRecordState.LIVE && it.member.host !in hosts }
            .map { it.member }
    return (remaining + joining).sortedBy { it.host }
}

private fun newest(
    member: Member,
    record: HostRecord,
): Member = if (record.member.incarnation > member.incarnation) record.member else member

/** Returns the first roster, of [members]; it is settled at once because nobody had standing before. */
internal fun firstRoster(
    members: List<Member>,
    witnessCount: Int,
): RosterDocument =
    RosterDocument(
        epoch = 1,
        phase = RosterPhase.SETTLED,
        members = members,
        witnesses = selectWitnesses(members, witnessCount),
    )

/** Returns the prepared change of this roster to [newMembers]. */
internal fun RosterDocument.prepared(
    newMembers: List<Member>,
    proposer: HostId,
    witnessCount: Int,
): RosterDocument {
    val before = members.toSet()
    val after = newMembers.toSet()
    return RosterDocument(
        epoch = epoch + 1,
        phase = RosterPhase.PREPARED,
        members = newMembers,
        witnesses = selectWitnesses(newMembers, witnessCount),
        joined = (after - before).mapTo(mutableSetOf()) { it.host },
        removed = (before - after).toList(),
        previousWitnesses = witnesses,
        proposer = proposer,
    )
}

package io.kumquatmill.membership.record

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.fleet.RosterView
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.message.RosterVersion
import kotlinx.serialization.Serializable

/**
 * Value of the entry `roster`.
 *
 * The members of the epoch before are [members] without those that [joined] and with those [removed].
 * [previousWitnesses] are the witnesses of the epoch before. [proposer] wrote the change and is the first to finish it.
 */
@Serializable
data class RosterDocument(
    val epoch: Long,
    val phase: RosterPhase,
    val members: List<
        @Serializable(CompactMemberSerializer::class)
        Member,
    >,
    val witnesses: List<Witness>,
    val joined: Set<HostId> = emptySet(),
    val removed: List<
        @Serializable(CompactMemberSerializer::class)
        Member,
    > = emptyList(),
    val previousWitnesses: List<Witness> = emptyList(),
    val proposer: HostId? = null,
) {
    /** Place of this document in the order of rosters. */
    val version: RosterVersion
        get() = RosterVersion(epoch, phase == RosterPhase.SETTLED)

    /** Returns this roster as other parts of a host see it. */
    fun toView(): RosterView = RosterView(epoch, phase, members, previousMembers())

    /** Returns this roster with its change settled. */
    fun settled(): RosterDocument =
        copy(phase = RosterPhase.SETTLED, joined = emptySet(), removed = emptyList(), previousWitnesses = emptyList(), proposer = null)

    private fun previousMembers(): List<Member> =
        if (phase == RosterPhase.SETTLED) emptyList() else members.filterNot { it.host in joined } + removed
}

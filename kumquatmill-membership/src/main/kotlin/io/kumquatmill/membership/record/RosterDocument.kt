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
 * The members of the previous epoch are [members] without those that [joined], plus those that were [removed].
 *
 * @property witnesses members whose votes give standing under this epoch.
 * @property previousWitnesses witnesses of the previous epoch; empty once the change is settled.
 * @property proposer host that proposed the change and settles it without delay; null once the change is settled.
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
    /** Version by which rosters are ordered. */
    val version: RosterVersion
        get() = RosterVersion(epoch, phase == RosterPhase.SETTLED)

    /** Returns this roster as the other components of a host use it. */
    fun toView(): RosterView = RosterView(epoch, phase, members, previousMembers())

    /** Returns this roster in the settled phase. */
    fun settled(): RosterDocument =
        copy(phase = RosterPhase.SETTLED, joined = emptySet(), removed = emptyList(), previousWitnesses = emptyList(), proposer = null)

    private fun previousMembers(): List<Member> =
        if (phase == RosterPhase.SETTLED) emptyList() else members.filterNot { it.host in joined } + removed
}

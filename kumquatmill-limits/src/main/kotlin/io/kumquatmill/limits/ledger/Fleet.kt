package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.fleet.RosterView
import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import kotlin.math.min

/** What a host knows of the fleet: its standing, its own incarnation and those of the others. */
internal class Fleet(
    val self: HostId,
    private val settings: LedgerSettings,
    private val safeguards: Safeguards,
) {
    var standing: Standing = Standing.none
        private set

    /** Time at which the present epoch and phase were first seen. */
    var rosterSeenAtMs: Long = 0
        private set

    private var incarnations: Map<HostId, Incarnation> = emptyMap()

    /** Incarnation of this host, or null while it is no member. */
    val ownIncarnation: Incarnation?
        get() = incarnations[self]

    fun incarnationOf(host: HostId): Incarnation? = incarnations[host]

    /** Returns whether [message] is for this life of the host and from the life of [from] that is a member. */
    fun accepts(
        from: Borrower,
        message: LedgerMessage,
    ): Boolean = !safeguards.checkIncarnations || (message.to == ownIncarnation && isMember(from))

    fun isMember(borrower: Borrower): Boolean = incarnations[borrower.host] == borrower.incarnation

    fun hasStanding(nowMs: Long): Boolean = ownIncarnation != null && (standing.isValid(nowMs) || !safeguards.requireStanding)

    /** Returns whether [next] is of the same epoch and phase as the standing so far. */
    fun isSameRoster(next: Standing): Boolean {
        val before = standing.roster
        val after = next.roster
        return before?.epoch == after?.epoch && before?.phase == after?.phase
    }

    /** Adopts [next]; returns how it follows the standing so far. */
    fun adopt(
        nowMs: Long,
        next: Standing,
    ): RosterStep {
        val step = stepTo(next)
        standing = next
        if (step == RosterStep.SAME) return step
        rosterSeenAtMs = nowMs
        val members =
            next.roster
                ?.members
                .orEmpty()
        incarnations = members.associate { it.host to it.incarnation }
        return step
    }

    /** Returns the units of [spec] that are this host's own under the present roster. */
    fun anchorTarget(spec: LimitSpec): Long {
        val roster = standing.roster ?: return 0
        val now = ownAnchor(roster.members, spec)
        if (roster.phase == RosterPhase.SETTLED || !safeguards.takeSmallerAnchor) return now
        val before = if (wasMemberBefore(roster)) ownAnchor(roster.previousMembers, spec) else 0
        return min(before, now)
    }

    /** Returns the home hosts of [spec] under the present roster. */
    fun homes(spec: LimitSpec): List<HostId> =
        standing.roster
            ?.let { homeHosts(it.members, spec, settings) }
            .orEmpty()

    private fun ownAnchor(
        members: List<Member>,
        spec: LimitSpec,
    ): Long = anchorUnits(members, spec, settings)[self] ?: 0

    private fun wasMemberBefore(roster: RosterView): Boolean =
        roster.previousMembers.any { it.host == self && it.incarnation == ownIncarnation }

    private fun stepTo(next: Standing): RosterStep {
        if (isSameRoster(next)) return RosterStep.SAME
        val before = standing.roster
        val after = next.roster
        val nextIncarnation = after?.members?.find { it.host == self }?.incarnation
        return when {
            before == null || after == null -> RosterStep.BREAK
            nextIncarnation != ownIncarnation -> RosterStep.BREAK
            after.epoch == before.epoch || after.epoch == before.epoch + 1 -> RosterStep.NEXT
            else -> RosterStep.BREAK
        }
    }
}

/** How one roster follows another in a host's view. */
internal enum class RosterStep {
    /** Same epoch and phase. */
    SAME,

    /** The following phase or epoch, so that the host's own units were nobody else's in between. */
    NEXT,

    /** Anything else: the host's units may have been another host's in between. */
    BREAK,
}

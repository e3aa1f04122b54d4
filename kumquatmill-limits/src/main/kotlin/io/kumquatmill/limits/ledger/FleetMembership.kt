package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.fleet.RosterView
import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import kotlin.math.min

/** Membership of the fleet as this host knows it: its standing, its own incarnation and those of the other members. */
internal class FleetMembership(
    val self: HostId,
    private val settings: LedgerSettings,
    private val safeguards: Safeguards,
) {
    var standing: Standing = Standing.none
        private set

    /** Time at which the current epoch and phase were first seen. */
    var rosterSeenAtMs: Long = 0
        private set

    private var incarnations: Map<HostId, Incarnation> = emptyMap()

    /** Incarnation of this host, or null while it is not a member. */
    val ownIncarnation: Incarnation?
        get() = incarnations[self]

    /** Returns the incarnation of [host], or null if it is not a member. */
    fun incarnationOf(host: HostId): Incarnation? = incarnations[host]

    /** Returns whether [message] is addressed to the current incarnation of this host and [from] is a member. */
    fun accepts(
        from: HostIncarnation,
        message: LedgerMessage,
    ): Boolean = !safeguards.checkIncarnations || (message.to == ownIncarnation && isMember(from))

    /** Returns whether [peer] is a member under this incarnation. */
    fun isMember(peer: HostIncarnation): Boolean = incarnations[peer.host] == peer.incarnation

    /** Returns whether this host may use its units at [nowMs]. */
    fun hasStanding(nowMs: Long): Boolean = ownIncarnation != null && (standing.isValid(nowMs) || !safeguards.requireStanding)

    /** Returns whether [next] has the same epoch and phase as the current standing. */
    fun isSameRoster(next: Standing): Boolean {
        val before = standing.roster
        val after = next.roster
        return before?.epoch == after?.epoch && before?.phase == after?.phase
    }

    /** Replaces the standing by [next]. Returns how the new roster follows the previous one. */
    fun updateStanding(
        nowMs: Long,
        next: Standing,
    ): RosterTransition {
        val transition = transitionTo(next)
        standing = next
        if (transition == RosterTransition.SAME) return transition
        rosterSeenAtMs = nowMs
        val members =
            next.roster
                ?.members
                .orEmpty()
        incarnations = members.associate { it.host to it.incarnation }
        return transition
    }

    /** Returns the base units of [spec] that the current roster assigns to this host. */
    fun targetBaseUnits(spec: LimitSpec): Long {
        val roster = standing.roster ?: return 0
        val now = ownBaseUnits(roster.members, spec)
        if (roster.phase == RosterPhase.SETTLED || !safeguards.useSmallerBaseUnits) return now
        val before = if (wasMemberBefore(roster)) ownBaseUnits(roster.previousMembers, spec) else 0
        return min(before, now)
    }

    /**
     * Returns the time from which units gained with the current roster take effect. Their previous holders may have tokens in use
     * for up to [maxHoldMs].
     *
     * No host held units before the first epoch, so its members need not wait.
     */
    fun gainsEffectiveAtMs(maxHoldMs: Long): Long =
        if (standing.roster?.epoch == FIRST_EPOCH) rosterSeenAtMs else rosterSeenAtMs + maxHoldMs

    /** Returns the home hosts of [spec] under the current roster. */
    fun homes(spec: LimitSpec): List<HostId> =
        standing.roster
            ?.let { homeHosts(it.members, spec, settings) }
            .orEmpty()

    private fun ownBaseUnits(
        members: List<Member>,
        spec: LimitSpec,
    ): Long = allocateBaseUnits(members, spec, settings)[self] ?: 0

    private fun wasMemberBefore(roster: RosterView): Boolean =
        roster.previousMembers.any { it.host == self && it.incarnation == ownIncarnation }

    private fun transitionTo(next: Standing): RosterTransition {
        if (isSameRoster(next)) return RosterTransition.SAME
        val before = standing.roster
        val after = next.roster
        val nextIncarnation = after?.members?.find { it.host == self }?.incarnation
        return when {
            before == null || after == null -> RosterTransition.BREAK
            nextIncarnation != ownIncarnation -> RosterTransition.BREAK
            after.epoch == before.epoch || after.epoch == before.epoch + 1 -> RosterTransition.NEXT
            else -> RosterTransition.BREAK
        }
    }

    private companion object {
        const val FIRST_EPOCH = 1L
    }
}

/** How a roster follows the previous one in a host's view. */
internal enum class RosterTransition {
    /** The epoch and phase are unchanged. */
    SAME,

    /** The next phase or epoch follows directly, so no other host can have held this host's base units in between. */
    NEXT,

    /** Continuity is broken: other hosts may have held this host's base units in between. */
    BREAK,
}

package io.kumquatmill.membership.roster

import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.OutputBuilder
import io.kumquatmill.membership.message.MembershipMessage.RosterAck
import io.kumquatmill.membership.message.MembershipMessage.RosterNotice
import io.kumquatmill.membership.message.MembershipMessage.RosterPull
import io.kumquatmill.membership.message.MembershipMessage.RosterPush
import io.kumquatmill.membership.message.RosterVersion
import io.kumquatmill.membership.standing.WitnessMemory

/** Passes rosters between peers while the store is silent, and confirms notices of a change. */
internal class RosterExchange(
    private val settings: MembershipSettings,
    private val holder: RosterHolder,
    private val memory: WitnessMemory,
) {
    private var nextPullMs = Long.MIN_VALUE

    /** Asks [from] for its roster if that is newer, one peer in each interval. */
    fun onPeerVersion(
        nowMs: Long,
        from: HostId,
        version: RosterVersion,
        out: OutputBuilder,
    ) {
        if (version <= holder.version || nowMs < nextPullMs) return
        nextPullMs = nowMs + settings.renewIntervalMs
        out.send(from, RosterPull(holder.version))
    }

    fun onPull(
        from: HostId,
        pull: RosterPull,
        out: OutputBuilder,
    ) {
        val stored = holder.stored ?: return
        if (stored.value.version > pull.have) out.send(from, RosterPush(stored.value, stored.revision))
    }

    /** Takes a notice; only a host with an incarnation confirms it. */
    fun onNotice(
        from: HostId,
        notice: RosterNotice,
        hasIncarnation: Boolean,
        out: OutputBuilder,
    ) {
        memory.hear(notice.epoch)
        if (hasIncarnation) out.send(from, RosterAck(notice.epoch))
    }
}

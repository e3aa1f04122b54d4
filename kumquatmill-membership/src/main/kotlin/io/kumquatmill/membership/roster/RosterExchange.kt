package io.kumquatmill.membership.roster

import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.OutputBuilder
import io.kumquatmill.membership.message.MembershipMessage.RosterAck
import io.kumquatmill.membership.message.MembershipMessage.RosterNotice
import io.kumquatmill.membership.message.MembershipMessage.RosterPull
import io.kumquatmill.membership.message.MembershipMessage.RosterPush
import io.kumquatmill.membership.message.RosterVersion
import io.kumquatmill.membership.standing.EpochTracker

/** Transfers rosters between peers while the store does not respond, and acknowledges notices of a roster change. */
internal class RosterExchange(
    private val settings: MembershipSettings,
    private val currentRoster: CurrentRoster,
    private val epochTracker: EpochTracker,
) {
    private var nextPullAtMs = Long.MIN_VALUE

    /** Requests the roster of [from] if it is newer, from at most one peer per `renewIntervalMs`. */
    fun onPeerVersion(
        nowMs: Long,
        from: HostId,
        version: RosterVersion,
        out: OutputBuilder,
    ) {
        if (version <= currentRoster.version || nowMs < nextPullAtMs) return
        nextPullAtMs = nowMs + settings.renewIntervalMs
        out.send(from, RosterPull(currentRoster.version))
    }

    fun onPull(
        from: HostId,
        pull: RosterPull,
        out: OutputBuilder,
    ) {
        val stored = currentRoster.entry ?: return
        if (stored.value.version > pull.have) out.send(from, RosterPush(stored.value, stored.revision))
    }

    /** Handles a notice of a prepared epoch; only a host with an incarnation acknowledges it. */
    fun onNotice(
        from: HostId,
        notice: RosterNotice,
        hasIncarnation: Boolean,
        out: OutputBuilder,
    ) {
        epochTracker.observe(notice.epoch)
        if (hasIncarnation) out.send(from, RosterAck(notice.epoch))
    }
}

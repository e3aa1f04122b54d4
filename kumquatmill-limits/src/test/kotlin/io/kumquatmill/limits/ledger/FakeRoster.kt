package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.fleet.RosterView

/** The roster at the store: changes are prepared, and settled when no host has standing under the epoch before. */
internal class FakeRoster(
    members: List<Member>,
    private val settleAfterMs: Long = STANDING_MS + 500,
) {
    var view: RosterView = settled(members)
        private set

    private var preparedAtMs = 0L

    /** Moves towards [wanted]. */
    fun advance(
        nowMs: Long,
        wanted: List<Member>,
    ) {
        if (view.phase == RosterPhase.PREPARED) {
            if (nowMs - preparedAtMs >= settleAfterMs) view = view.copy(phase = RosterPhase.SETTLED)
        } else if (wanted.toSet() != view.members.toSet() && wanted.isNotEmpty()) {
            view = prepared(wanted, view.members, view.epoch + 1)
            preparedAtMs = nowMs
        }
    }

    companion object {
        const val STANDING_MS = 4_000L
    }
}

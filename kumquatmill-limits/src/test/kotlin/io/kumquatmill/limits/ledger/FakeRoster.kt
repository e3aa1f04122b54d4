package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.fleet.RosterView

/** The roster in the store. A change is first prepared, then settled once no host has standing under the previous epoch. */
internal class FakeRoster(
    members: List<Member>,
    private val settleAfterMs: Long = STANDING_DURATION_MS + 500,
) {
    var view: RosterView = settled(members)
        private set

    private var preparedAtMs = 0L

    /** Takes the next step towards the members [wanted], if one is due. */
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
        const val STANDING_DURATION_MS = 4_000L
    }
}

package io.kumquatmill.membership.roster

import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.store.StoreView

/**
 * Rank of this host in the order in which hosts propose or settle a roster change.
 *
 * Candidates are the members with a record or, if there are none, all hosts with a record.
 */
internal class ProposerRank(
    private val self: HostId,
    private val view: StoreView,
    private val currentRoster: CurrentRoster,
) {
    private var rank: Int? = null
    private var rankedRevision = -1L
    private var rankedEpoch = -1L

    /** Returns how long this host waits: [proposerRankDelayMs] for each host before it, or [NEVER_MS] if it is not a candidate. */
    fun delayMs(proposerRankDelayMs: Long): Long = currentRank()?.let { it * proposerRankDelayMs } ?: NEVER_MS

    private fun currentRank(): Int? {
        val epoch = currentRoster.version.epoch
        if (rankedRevision != view.revision || rankedEpoch != epoch) {
            rankedRevision = view.revision
            rankedEpoch = epoch
            rank = computeRank(epoch)
        }
        return rank
    }

    private fun computeRank(epoch: Long): Int? {
        val registered = view.records.values.map { it.value.member }
        val members = registered.filter { currentRoster.isMember(it.host, it.incarnation) }
        val candidates = members.ifEmpty { registered }.map { it.host }
        return rendezvousOrder("roster-$epoch", candidates) { it.value }.indexOf(self).takeIf { it >= 0 }
    }

    private companion object {
        const val NEVER_MS = Long.MAX_VALUE / 2
    }
}

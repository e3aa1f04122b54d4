package io.kumquatmill.membership.roster

import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.store.StoreView

/**
 * Place of this host in the order in which hosts propose or finish a change of the roster.
 *
 * Members with a record come in question; when there are none left, all hosts with a record do.
 */
internal class ProposerRank(
    private val self: HostId,
    private val view: StoreView,
    private val holder: RosterHolder,
) {
    private var rank: Int? = null
    private var rankedRevision = -1L
    private var rankedEpoch = -1L

    /** Returns how long this host leaves the change to those before it. */
    fun delayMs(rankDelayMs: Long): Long = current()?.let { it * rankDelayMs } ?: NEVER_MS

    private fun current(): Int? {
        val epoch = holder.version.epoch
        if (rankedRevision != view.revision || rankedEpoch != epoch) {
            rankedRevision = view.revision
            rankedEpoch = epoch
            rank = compute(epoch)
        }
        return rank
    }

    private fun compute(epoch: Long): Int? {
        val recorded = view.records.values.map { it.value.member }
        val members = recorded.filter { holder.isMember(it.host, it.incarnation) }
        val candidates = members.ifEmpty { recorded }.map { it.host }
        return rendezvousOrder("roster-$epoch", candidates) { it.value }.indexOf(self).takeIf { it >= 0 }
    }

    private companion object {
        const val NEVER_MS = Long.MAX_VALUE / 2
    }
}

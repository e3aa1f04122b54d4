package io.kumquatmill.membership.standing

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.record.Witness
import io.kumquatmill.membership.record.majorityOf

/**
 * Tracks when this host's standing under the current epoch was last confirmed, by the store or by a majority of witnesses.
 *
 * All times are send times of requests: a reply may describe a state from before its arrival, but not from before its request.
 */
internal class StandingTracker(
    private val self: HostId,
    private val epochTracker: EpochTracker,
) {
    private var epoch = 0L
    private var witnesses: List<Witness> = emptyList()
    private var storeConfirmedAtMs: Long? = null
    private val voteSentAtMs = mutableMapOf<Witness, Long>()

    /** Discards all confirmations and votes if [newEpoch] differs from the current epoch. */
    fun startEpoch(
        newEpoch: Long,
        newWitnesses: List<Witness>,
    ) {
        if (newEpoch == epoch) return
        epoch = newEpoch
        witnesses = newWitnesses
        storeConfirmedAtMs = null
        voteSentAtMs.clear()
    }

    /** Records that the store, in reply to a call sent at [sentAtMs], has the roster of [atEpoch]. */
    fun onStoreConfirmation(
        atEpoch: Long,
        sentAtMs: Long,
    ) {
        if (atEpoch == epoch) storeConfirmedAtMs = maxOf(sentAtMs, storeConfirmedAtMs ?: sentAtMs)
    }

    /** Records the vote of [host] for [atEpoch] in reply to a request sent at [sentAtMs]; ignored unless it is a witness. */
    fun onVote(
        host: HostId,
        incarnation: Incarnation,
        atEpoch: Long,
        sentAtMs: Long,
    ) {
        val witness = Witness(host, incarnation)
        if (atEpoch == epoch && witness in witnesses) voteSentAtMs.merge(witness, sentAtMs, ::maxOf)
    }

    /** Records the votes for [atEpoch] that a peer relays in reply to a request sent at [sentAtMs], as ages in witness order. */
    fun onRelayedVotes(
        atEpoch: Long,
        sentAtMs: Long,
        agesMs: List<Long?>,
    ) {
        if (atEpoch != epoch) return
        witnesses.zip(agesMs).forEach { (witness, ageMs) -> ageMs?.let { voteSentAtMs.merge(witness, sentAtMs - it, ::maxOf) } }
    }

    /** Returns the ages of the votes for [atEpoch] in witness order, with null for each that is not younger than [maxAgeMs]. */
    fun voteAgesToRelay(
        nowMs: Long,
        atEpoch: Long,
        maxAgeMs: Long,
    ): List<Long?> {
        val agesMs = witnesses.map { witness -> voteSentAtMs[witness]?.let { nowMs - it }?.takeIf { it < maxAgeMs } }
        return if (atEpoch != epoch || agesMs.all { it == null }) emptyList() else agesMs
    }

    /** Returns the time from which standing counts, or null if it is not confirmed under the current epoch. */
    fun lastConfirmedAtMs(
        nowMs: Long,
        selfIncarnation: Incarnation,
    ): Long? = listOfNotNull(storeConfirmedAtMs, majorityVoteAtMs(nowMs, selfIncarnation)).maxOrNull()

    /** Returns the witnesses whose latest vote was requested at or after [sinceMs]. */
    fun votersSince(sinceMs: Long): Set<Witness> = voteSentAtMs.filterValues { it >= sinceMs }.keys

    private fun majorityVoteAtMs(
        nowMs: Long,
        selfIncarnation: Incarnation,
    ): Long? {
        val selfWitness = Witness(self, selfIncarnation)
        val voteTimesMs = witnesses.mapNotNull { if (it == selfWitness) selfVoteAtMs(nowMs) else voteSentAtMs[it] }
        return voteTimesMs.sortedDescending().getOrNull(majorityOf(witnesses.size) - 1)
    }

    private fun selfVoteAtMs(nowMs: Long): Long? = nowMs.takeIf { epochTracker.votesFor(epoch) }
}

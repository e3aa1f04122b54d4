package io.kumquatmill.membership.standing

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.record.Witness
import io.kumquatmill.membership.record.majorityOf

/**
 * When the host last asked a question whose answer gives it standing under one epoch.
 *
 * All times are those of sending, because the answer may be older than its arrival but not older than its question.
 */
internal class StandingTracker(
    private val self: HostId,
    private val memory: WitnessMemory,
) {
    private var epoch = 0L
    private var witnesses: List<Witness> = emptyList()
    private var storeEvidenceMs: Long? = null
    private val vouchedMs = mutableMapOf<Witness, Long>()

    /** Starts over when [newEpoch] is another epoch than before. */
    fun follow(
        newEpoch: Long,
        newWitnesses: List<Witness>,
    ) {
        if (newEpoch == epoch) return
        epoch = newEpoch
        witnesses = newWitnesses
        storeEvidenceMs = null
        vouchedMs.clear()
    }

    /** Notes that the store, asked at [sentAtMs], has the roster of [atEpoch]. */
    fun onStoreEvidence(
        atEpoch: Long,
        sentAtMs: Long,
    ) {
        if (atEpoch == epoch) storeEvidenceMs = maxOf(sentAtMs, storeEvidenceMs ?: sentAtMs)
    }

    /** Notes that a host, asked at [sentAtMs], vouches for [atEpoch]; it counts if it is one of the witnesses. */
    fun onVouched(
        host: HostId,
        incarnation: Incarnation,
        atEpoch: Long,
        sentAtMs: Long,
    ) {
        val witness = Witness(host, incarnation)
        if (atEpoch == epoch && witness in witnesses) vouchedMs.merge(witness, sentAtMs, ::maxOf)
    }

    /** Takes the votes for [atEpoch] that a peer, asked at [sentAtMs], has from the witnesses, by their ages. */
    fun onRelayedVotes(
        atEpoch: Long,
        sentAtMs: Long,
        agesMs: List<Long?>,
    ) {
        if (atEpoch != epoch) return
        witnesses.zip(agesMs).forEach { (witness, ageMs) -> ageMs?.let { vouchedMs.merge(witness, sentAtMs - it, ::maxOf) } }
    }

    /** Returns the ages of the votes for [atEpoch] that are younger than [maxAgeMs], to pass on to a peer. */
    fun voteAgesToRelay(
        nowMs: Long,
        atEpoch: Long,
        maxAgeMs: Long,
    ): List<Long?> {
        val agesMs = witnesses.map { witness -> vouchedMs[witness]?.let { nowMs - it }?.takeIf { it < maxAgeMs } }
        return if (atEpoch != epoch || agesMs.all { it == null }) emptyList() else agesMs
    }

    /** Returns the time that standing counts from, or null if there is none. */
    fun evidenceMs(
        nowMs: Long,
        selfIncarnation: Incarnation,
    ): Long? = listOfNotNull(storeEvidenceMs, witnessEvidenceMs(nowMs, selfIncarnation)).maxOrNull()

    /** Returns the witnesses that have vouched since [sinceMs]. */
    fun vouchedSince(sinceMs: Long): Set<Witness> = vouchedMs.filterValues { it >= sinceMs }.keys

    private fun witnessEvidenceMs(
        nowMs: Long,
        selfIncarnation: Incarnation,
    ): Long? {
        val selfWitness = Witness(self, selfIncarnation)
        val times = witnesses.mapNotNull { if (it == selfWitness) selfVote(nowMs) else vouchedMs[it] }
        return times.sortedDescending().getOrNull(majorityOf(witnesses.size) - 1)
    }

    private fun selfVote(nowMs: Long): Long? = nowMs.takeIf { memory.vouchesFor(epoch) }
}

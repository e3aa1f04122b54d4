package io.kumquatmill.membership.roster

import io.kumquatmill.membership.record.Witness
import io.kumquatmill.membership.record.majorityOf

/** Progress of this host in settling the prepared [epoch], observed since [startedAtMs]. */
internal class Settlement(
    val epoch: Long,
    val startedAtMs: Long,
    private val previousWitnesses: List<Witness>,
) {
    private val acknowledged = mutableSetOf<Witness>()
    private var nextNoticeAtMs = startedAtMs

    /** Time since which a majority of the previous witnesses is known not to vote for the previous epoch, or null if it is not. */
    var confirmedAtMs: Long? = null
        private set

    fun onAck(witness: Witness) {
        acknowledged += witness
    }

    /** Sets [confirmedAtMs] once a majority has acknowledged or, by [hasStoppedVoting], cannot vote for the previous epoch. */
    fun updateConfirmation(
        nowMs: Long,
        hasStoppedVoting: (Witness) -> Boolean,
    ) {
        val count = previousWitnesses.count { it in acknowledged || hasStoppedVoting(it) }
        val isConfirmed = previousWitnesses.isEmpty() || count >= majorityOf(previousWitnesses.size)
        if (isConfirmed && confirmedAtMs == null) confirmedAtMs = nowMs
    }

    /** Returns the witnesses to notify now: every [intervalMs], those that may still vote for the previous epoch. */
    fun witnessesToNotify(
        nowMs: Long,
        intervalMs: Long,
        hasStoppedVoting: (Witness) -> Boolean,
    ): List<Witness> {
        if (confirmedAtMs != null || nowMs < nextNoticeAtMs) return emptyList()
        nextNoticeAtMs = nowMs + intervalMs
        return previousWitnesses.filterNot { it in acknowledged || hasStoppedVoting(it) }
    }
}

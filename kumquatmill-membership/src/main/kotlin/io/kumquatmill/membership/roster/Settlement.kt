package io.kumquatmill.membership.roster

import io.kumquatmill.membership.record.Witness
import io.kumquatmill.membership.record.majorityOf

/** Progress of one host in settling the prepared change to [epoch]. */
internal class Settlement(
    val epoch: Long,
    val startedMs: Long,
    private val previousWitnesses: List<Witness>,
) {
    private val acknowledged = mutableSetOf<Witness>()
    private var nextNotifyMs = startedMs

    /** Time since which a majority of the previous witnesses is known not to vouch any more, or null. */
    var confirmedMs: Long? = null
        private set

    fun onAck(witness: Witness) {
        acknowledged += witness
    }

    /** Notes whether a majority has confirmed; [isSilenced] tells of a witness that can not vouch any more. */
    fun check(
        nowMs: Long,
        isSilenced: (Witness) -> Boolean,
    ) {
        val count = previousWitnesses.count { it in acknowledged || isSilenced(it) }
        val isConfirmed = previousWitnesses.isEmpty() || count >= majorityOf(previousWitnesses.size)
        if (isConfirmed && confirmedMs == null) confirmedMs = nowMs
    }

    /** Returns the witnesses to notify now. */
    fun dueNotices(
        nowMs: Long,
        intervalMs: Long,
        isSilenced: (Witness) -> Boolean,
    ): List<Witness> {
        if (confirmedMs != null || nowMs < nextNotifyMs) return emptyList()
        nextNotifyMs = nowMs + intervalMs
        return previousWitnesses.filterNot { it in acknowledged || isSilenced(it) }
    }
}

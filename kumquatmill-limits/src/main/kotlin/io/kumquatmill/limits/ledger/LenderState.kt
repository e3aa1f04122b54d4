package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation

/** Nonce of a message to a lender, with its send time and its position in the borrower's order of events. */
internal data class SentNonce(
    val nonce: Long,
    val sentAtMs: Long,
    val sequence: Long,
)

/** State that a borrower keeps for one lender. */
internal class LenderState(
    val host: HostId,
    val incarnation: Incarnation,
) {
    /** Limits of which the lender may have granted a loan. */
    val limits = sortedSetOf<LimitId>()
    var lastRenewalAtMs: Long = Long.MIN_VALUE / 2

    /** Time of the last request. A renewal is due after it, because its digest reveals a lost grant. */
    var lastRequestAtMs: Long = Long.MIN_VALUE / 2
    private val sentNonces = ArrayDeque<SentNonce>()

    /** Records [nonce] and discards nonces that were sent more than [retentionMs] before it. */
    fun recordNonce(
        nonce: SentNonce,
        retentionMs: Long,
    ) {
        sentNonces.removeAll { nonce.sentAtMs - it.sentAtMs > retentionMs }
        sentNonces += nonce
    }

    /** Returns the record of [nonce], or null if it was not sent to this lender or is no longer retained. */
    fun sentNonce(nonce: Long): SentNonce? = sentNonces.find { it.nonce == nonce }
}

package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation

/** A question to a lender: when it was sent, and the position of that moment in the borrower's order of events. */
internal data class SentNonce(
    val nonce: Long,
    val sentAtMs: Long,
    val sequence: Long,
)

/** What a borrower knows of one lender. */
internal class LenderPair(
    val host: HostId,
    val incarnation: Incarnation,
) {
    val limits = sortedSetOf<LimitId>()
    var renewedAtMs: Long = Long.MIN_VALUE / 2

    /** Time of the last request; a renewal after it finds out about a lost grant. */
    var askedAtMs: Long = Long.MIN_VALUE / 2
    private val sent = ArrayDeque<SentNonce>()

    fun note(
        nonce: SentNonce,
        retentionMs: Long,
    ) {
        sent.removeAll { nonce.sentAtMs - it.sentAtMs > retentionMs }
        sent += nonce
    }

    fun sentNonce(nonce: Long): SentNonce? = sent.find { it.nonce == nonce }
}

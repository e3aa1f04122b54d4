package io.kumquatmill.limits.ledger

/** What a lender knows of one borrower. */
internal class BorrowerPair(
    val borrower: Borrower,
) {
    val limits = sortedSetOf<LimitId>()

    /** Highest nonce that the borrower has sent. */
    var lastNonce: Long = 0
        private set

    /** Time at which [lastNonce] came. */
    var notedAtMs: Long = Long.MIN_VALUE
        private set

    /** Notes [nonce]; returns false if the message was overtaken or is repeated. */
    fun note(
        nowMs: Long,
        nonce: Long,
    ): Boolean {
        if (nonce <= lastNonce) return false
        lastNonce = nonce
        notedAtMs = nowMs
        return true
    }
}

package io.kumquatmill.limits.ledger

/** State that a lender keeps for one borrower. */
internal class BorrowerState(
    val borrower: HostIncarnation,
) {
    /** Limits of which the borrower may hold a loan. */
    val limits = sortedSetOf<LimitId>()

    /** Highest nonce received from the borrower. */
    var lastNonce: Long = 0
        private set

    /** Time at which [lastNonce] was received. */
    var lastNonceAtMs: Long = Long.MIN_VALUE
        private set

    /** Records [nonce]. Returns false if the message is a duplicate or was overtaken by a later one. */
    fun acceptNonce(
        nowMs: Long,
        nonce: Long,
    ): Boolean {
        if (nonce <= lastNonce) return false
        lastNonce = nonce
        lastNonceAtMs = nowMs
        return true
    }
}

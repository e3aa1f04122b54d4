package io.kumquatmill.limits.ledger

/** Counts of what a share ledger has done since it was created. */
data class LedgerCounters(
    val messagesSent: Long = 0,
    val messagesReceived: Long = 0,
    val messagesIgnored: Long = 0,
    val entriesSent: Long = 0,
    val takes: Long = 0,
    val shorts: Long = 0,
)

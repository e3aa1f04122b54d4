package io.kumquatmill.limits.ledger

/** Counts of what a share ledger has done since it was created. */
data class LedgerCounters(
    val messagesSent: Long = 0,
    val messagesReceived: Long = 0,
    /** Messages for or from another incarnation or a host that is no member. */
    val messagesIgnored: Long = 0,
    /** Needs, terms, recalls and returns in the messages sent. */
    val entriesSent: Long = 0,
    val takes: Long = 0,
    val shorts: Long = 0,
)

/** Running [LedgerCounters]. */
internal class LedgerTally {
    var messagesSent = 0L
    var messagesReceived = 0L
    var messagesIgnored = 0L
    var entriesSent = 0L
    var takes = 0L
    var shorts = 0L

    fun count(sends: List<LedgerSend>) {
        messagesSent += sends.size
        entriesSent += sends.sumOf { it.message.entryCount() }
    }

    fun snapshot() = LedgerCounters(messagesSent, messagesReceived, messagesIgnored, entriesSent, takes, shorts)

    private fun LedgerMessage.entryCount(): Int =
        when (this) {
            is LedgerMessage.LoanRequest -> needs.size
            is LedgerMessage.LoanGrant -> terms.size
            is LedgerMessage.LoanRecall -> recalls.size
            is LedgerMessage.LoanReturn -> returns.size
            is LedgerMessage.LoanRenewal, is LedgerMessage.LoanRenewed -> 0
        }
}

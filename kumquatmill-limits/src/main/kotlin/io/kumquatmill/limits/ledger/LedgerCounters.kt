package io.kumquatmill.limits.ledger

/** Counters of a share ledger since its creation. */
data class LedgerCounters(
    val messagesSent: Long = 0,
    val messagesReceived: Long = 0,
    /** Messages ignored because receiver or sender has another incarnation or the sender is not a member. */
    val messagesIgnored: Long = 0,
    /** Needs, terms, recalls and returns contained in the sent messages. */
    val entriesSent: Long = 0,
    /** Successful attempts to take tokens. */
    val takes: Long = 0,
    /** Attempts to take tokens that failed for lack of tokens. */
    val denials: Long = 0,
)

/** Mutable counterpart of [LedgerCounters]. */
internal class MutableLedgerCounters {
    var messagesSent = 0L
    var messagesReceived = 0L
    var messagesIgnored = 0L
    var entriesSent = 0L
    var takes = 0L
    var denials = 0L

    fun recordSent(messages: List<OutgoingLedgerMessage>) {
        messagesSent += messages.size
        entriesSent += messages.sumOf { it.message.entryCount() }
    }

    fun snapshot() = LedgerCounters(messagesSent, messagesReceived, messagesIgnored, entriesSent, takes, denials)

    private fun LedgerMessage.entryCount(): Int =
        when (this) {
            is LedgerMessage.LoanRequest -> needs.size
            is LedgerMessage.LoanGrant -> terms.size
            is LedgerMessage.LoanRecall -> recalls.size
            is LedgerMessage.LoanReturn -> returns.size
            is LedgerMessage.LoanRenewal, is LedgerMessage.LoanRenewed -> 0
        }
}

package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.PeerSend
import io.kumquatmill.common.id.Incarnation
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A [LedgerMessage] and the host that it goes to. */
typealias LedgerSend = PeerSend<LedgerMessage>

/**
 * What the share ledgers of two hosts say to each other; any message may be lost, repeated or overtaken.
 *
 * A message counts only for the incarnation [to] of its receiver.
 */
@Serializable
sealed interface LedgerMessage {
    val to: Incarnation

    /** A borrower tells a lender what it needs; the lender may answer with a [LoanGrant] for [nonce], at once or later. */
    @Serializable
    @SerialName("request")
    data class LoanRequest(
        override val to: Incarnation,
        val nonce: Long,
        val needs: List<LoanNeed>,
    ) : LedgerMessage

    /** A lender states loans that last [durationMs] from when the borrower sent [nonce]. */
    @Serializable
    @SerialName("grant")
    data class LoanGrant(
        override val to: Incarnation,
        val nonce: Long,
        val durationMs: Long,
        val terms: List<LoanTerms>,
    ) : LedgerMessage

    /** A borrower asks to renew all its loans of a lender; [digest] tells whether both have the same view of them. */
    @Serializable
    @SerialName("renewal")
    data class LoanRenewal(
        override val to: Incarnation,
        val nonce: Long,
        val digest: Long,
    ) : LedgerMessage

    /** A lender renews all loans that the borrower held when it sent [nonce]. */
    @Serializable
    @SerialName("renewed")
    data class LoanRenewed(
        override val to: Incarnation,
        val nonce: Long,
        val durationMs: Long,
    ) : LedgerMessage

    /** A lender wants units back. */
    @Serializable
    @SerialName("recall")
    data class LoanRecall(
        override val to: Incarnation,
        val recalls: List<RecalledLoan>,
    ) : LedgerMessage

    /** A borrower has given units up. */
    @Serializable
    @SerialName("return")
    data class LoanReturn(
        override val to: Incarnation,
        val returns: List<ReturnedLoan>,
    ) : LedgerMessage
}

/** Units out of all of [limit] that a borrower needs, those of its own included; none if it needs no loan. */
@Serializable
data class LoanNeed(
    val limit: LimitId,
    val units: Long,
)

/** Terms of one loan: the borrower holds [units] by the highest [version] it has seen; [microTokens] come once with it. */
@Serializable
data class LoanTerms(
    val limit: LimitId,
    val version: Long,
    val units: Long,
    val microTokens: Long,
)

/** A lender wants a borrower to keep at most [units] of the loan that it holds by [version]. */
@Serializable
data class RecalledLoan(
    val limit: LimitId,
    val version: Long,
    val units: Long,
)

/** A borrower keeps only [keptUnits] of the loan that it held by [version]; [microTokens] come back once with the rest. */
@Serializable
data class ReturnedLoan(
    val limit: LimitId,
    val version: Long,
    val keptUnits: Long,
    val microTokens: Long,
)

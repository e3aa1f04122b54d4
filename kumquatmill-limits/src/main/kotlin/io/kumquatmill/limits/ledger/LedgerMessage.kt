package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.common.id.Incarnation
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A [LedgerMessage] with the host that it is sent to. */
typealias OutgoingLedgerMessage = OutgoingMessage<LedgerMessage>

/**
 * Message between the share ledgers of two hosts. Any message may be lost, duplicated or reordered.
 *
 * A message takes effect only if [to] is the current incarnation of its receiver.
 */
@Serializable
sealed interface LedgerMessage {
    val to: Incarnation

    /**
     * A borrower reports its needs. The lender may answer with a [LoanGrant] for [nonce], immediately or later.
     *
     * The [nonce] is higher than that of any earlier [LoanRequest] or [LoanRenewal] of the borrower.
     */
    @Serializable
    @SerialName("request")
    data class LoanRequest(
        override val to: Incarnation,
        val nonce: Long,
        val needs: List<LoanNeed>,
    ) : LedgerMessage

    /** A lender grants loans that last [durationMs], counted from when the borrower sent [nonce]. */
    @Serializable
    @SerialName("grant")
    data class LoanGrant(
        override val to: Incarnation,
        val nonce: Long,
        val durationMs: Long,
        val terms: List<LoanTerms>,
    ) : LedgerMessage

    /** A borrower asks to renew all loans from a lender. The lender compares [digest] with that of its own records of the loans. */
    @Serializable
    @SerialName("renewal")
    data class LoanRenewal(
        override val to: Incarnation,
        val nonce: Long,
        val digest: Long,
    ) : LedgerMessage

    /** A lender renews all loans that the borrower held when it sent [nonce], for [durationMs] from that time. */
    @Serializable
    @SerialName("renewed")
    data class LoanRenewed(
        override val to: Incarnation,
        val nonce: Long,
        val durationMs: Long,
    ) : LedgerMessage

    /** A lender asks a borrower to return units. */
    @Serializable
    @SerialName("recall")
    data class LoanRecall(
        override val to: Incarnation,
        val recalls: List<RecalledLoan>,
    ) : LedgerMessage

    /** A borrower returns units. */
    @Serializable
    @SerialName("return")
    data class LoanReturn(
        override val to: Incarnation,
        val returns: List<ReturnedLoan>,
    ) : LedgerMessage
}

/** Number of units of [limit] that a borrower needs, including its own units; 0 if it needs no loan. */
@Serializable
data class LoanNeed(
    val limit: LimitId,
    val units: Long,
)

/**
 * Terms of one loan. The terms with the highest [version] that the borrower has received apply: it holds [units].
 *
 * [microTokens] are the tokens transferred with the units, in millionths of a token. They are credited once.
 */
@Serializable
data class LoanTerms(
    val limit: LimitId,
    val version: Long,
    val units: Long,
    val microTokens: Long,
)

/** A lender asks a borrower to keep at most [units] of a loan under the terms of [version]. */
@Serializable
data class RecalledLoan(
    val limit: LimitId,
    val version: Long,
    val units: Long,
)

/**
 * A borrower keeps only [keptUnits] of a loan under the terms of [version] and returns the rest.
 *
 * [microTokens] are the tokens returned with the units, in millionths of a token. They are credited once.
 */
@Serializable
data class ReturnedLoan(
    val limit: LimitId,
    val version: Long,
    val keptUnits: Long,
    val microTokens: Long,
)

package io.kumquatmill.limits.ledger

/** Result of [ShareLedger.tryTake]. */
sealed interface TakeResult {
    /** The tokens were taken. */
    data object Taken : TakeResult

    /** No tokens were taken; they may be available after [retryAfterMs]. */
    data class Denied(
        val retryAfterMs: Long,
    ) : TakeResult
}

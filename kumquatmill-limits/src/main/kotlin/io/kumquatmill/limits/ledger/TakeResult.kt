package io.kumquatmill.limits.ledger

/** Answer of a [ShareLedger] to an attempt to take tokens. */
sealed interface TakeResult {
    /** The tokens were taken. */
    data object Taken : TakeResult

    /** Nothing was taken; the tokens may be there after [retryAfterMs]. */
    data class Short(
        val retryAfterMs: Long,
    ) : TakeResult
}

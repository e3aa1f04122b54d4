package io.kumquatmill.routing.idempotency

/** Result of [IdempotencyRegistry.claim]. */
sealed interface IdempotencyClaim {
    /** The request may run. Its outcome must be reported with [IdempotencyRegistry.complete]. */
    data object Granted : IdempotencyClaim

    /** A request with the same key is in progress, was answered or may have run, so that this one must not run. */
    data object Duplicate : IdempotencyClaim

    /** The key exceeds [IdempotencySettings.maxKeyLength]. */
    data object KeyTooLong : IdempotencyClaim

    /** The registry is full. The request must not run without an entry, and may be retried after [retryAfterMs]. */
    data class Full(
        val retryAfterMs: Long,
    ) : IdempotencyClaim
}

package io.kumquatmill.routing.idempotency

/** Answer of an [IdempotencyRegister] to a request with a key. */
sealed interface IdempotencyClaim {
    /** The request may run; its end has to be reported. */
    data object Granted : IdempotencyClaim

    /** A request with the same key is open or may have run; this one must not. */
    data object Duplicate : IdempotencyClaim

    /** The key is longer than the register takes. */
    data object KeyTooLong : IdempotencyClaim

    /** The register is full; the request must not run unremembered and may come back after [retryAfterMs]. */
    data class Full(
        val retryAfterMs: Long,
    ) : IdempotencyClaim
}

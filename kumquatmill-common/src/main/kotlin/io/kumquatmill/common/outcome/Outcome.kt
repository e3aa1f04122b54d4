package io.kumquatmill.common.outcome

/**
 * Outcome of one attempt, or of a whole request.
 *
 * On a route that is not idempotent, only [NotRun] may be retried. `retryAfterMs` is the delay after which the caller should retry.
 */
sealed interface Outcome {
    /** A worker sent a complete response with HTTP status [status]. */
    data class Answered(
        val status: Int,
    ) : Outcome

    /** The request was provably not executed: nothing was sent, or the worker explicitly refused it. */
    data class NotRun(
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : Outcome

    /** The request may or may not have been executed: bytes were sent and no complete response was received. */
    data class Unknown(
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : Outcome
}

/** Name of this outcome in logs, metrics and responses to callers. */
val Outcome.wireName: String
    get() =
        when (this) {
            is Outcome.Answered -> "answered"
            is Outcome.NotRun -> "not-run"
            is Outcome.Unknown -> "unknown"
        }

package io.kumquatmill.common.outcome

/**
 * What is known of one attempt, or of a whole request, once it has ended.
 *
 * Only [NotRun] may be tried again on a route that is not idempotent.
 */
sealed interface Outcome {
    /** A worker answered completely; [status] is its HTTP status. */
    data class Answered(
        val status: Int,
    ) : Outcome

    /** The request provably did not run: nothing was sent, or the worker said so in its protocol. */
    data class NotRun(
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : Outcome

    /** The request may or may not have run: bytes were sent and no complete answer came back. */
    data class Unknown(
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : Outcome
}

/** Returns the name of this outcome in logs, metrics and answers to callers. */
val Outcome.wireName: String
    get() =
        when (this) {
            is Outcome.Answered -> "answered"
            is Outcome.NotRun -> "not-run"
            is Outcome.Unknown -> "unknown"
        }

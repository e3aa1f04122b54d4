package io.kumquatmill.node.event

/** How an attempt ended, as observed on its connection. */
sealed interface AttemptResult {
    /** A complete response with HTTP status [status] arrived; the daemon buffers it until the node decides whether to relay it. */
    data class Answered(
        val status: Int,
        val bodyBytes: Long,
    ) : AttemptResult

    /** The request was provably not executed: the connection failed before any byte was sent. */
    data object NotSent : AttemptResult

    /**
     * The request was provably not executed: the worker shed it and said so in its response.
     *
     * [isDraining] is true if it did so because it is draining; [retryAfterMs] is the retry delay that it asked for, or 0 for
     * the node's default.
     */
    data class Shed(
        val retryAfterMs: Long,
        val isDraining: Boolean,
    ) : AttemptResult

    /** The request may have been executed: the connection broke, or the response was truncated, mismatched or late. */
    data class Unknown(
        val detail: String,
    ) : AttemptResult
}

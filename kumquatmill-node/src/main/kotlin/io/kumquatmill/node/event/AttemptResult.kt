package io.kumquatmill.node.event

/** How an attempt ended, as seen on its connection. */
sealed interface AttemptResult {
    /** A complete answer arrived and is held by the daemon until the request is answered. */
    data class Answered(
        val status: Int,
        val bodyBytes: Long,
    ) : AttemptResult

    /** Provably not run: the connection was refused before any byte was sent. */
    data object NotSent : AttemptResult

    /** Provably not run: the worker said so in its protocol. */
    data class Shed(
        val retryAfterMs: Long,
        val isDraining: Boolean,
    ) : AttemptResult

    /** The request may have run: the connection broke, the answer was cut, crossed or late. */
    data class Unknown(
        val detail: String,
    ) : AttemptResult
}

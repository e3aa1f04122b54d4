package io.kumquatmill.routing.health

/** Health signal from an attempt that has ended at a worker. */
sealed interface AttemptSample {
    /** The worker responded after [latencyMs]. */
    data class Served(
        val latencyMs: Long,
    ) : AttemptSample

    /**
     * The worker had not responded when the attempt timed out or was cancelled after [waitedMs].
     *
     * It counts as a failure only if other workers of the upstream would have responded by then, so that a caller with a short
     * deadline or one that disconnects early can't cause healthy workers to be ejected.
     */
    data class TimedOut(
        val waitedMs: Long,
    ) : AttemptSample

    /** The worker refused the connection: its process is not running, and it is ejected immediately. */
    data object Unreachable : AttemptSample

    /** The worker did not respond, or responded with a server error. */
    data object Failed : AttemptSample

    /** The attempt says nothing about the worker's health, because the worker shed the request. */
    data object Neutral : AttemptSample
}

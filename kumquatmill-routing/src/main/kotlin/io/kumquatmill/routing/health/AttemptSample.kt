package io.kumquatmill.routing.health

/** What an ended attempt says of the worker's health. */
sealed interface AttemptSample {
    /** The worker answered after [latencyMs]. */
    data class Served(
        val latencyMs: Long,
    ) : AttemptSample

    /**
     * The worker had not answered when the request's time was up after [waitedMs].
     *
     * It counts against the worker only if others of its upstream would have answered by then, so that a caller with a
     * short deadline can't have healthy workers ejected.
     */
    data class TimedOut(
        val waitedMs: Long,
    ) : AttemptSample

    /** The worker refused the connection: its process is not there, and it is ejected at once. */
    data object Unreachable : AttemptSample

    /** The worker did not answer, or answered with an error of its own. */
    data object Failed : AttemptSample

    /** The attempt says nothing of the worker's health: it was cancelled or shed. */
    data object Neutral : AttemptSample
}

package io.kumquatmill.routing.health

/** What an ended attempt says of the worker's health. */
sealed interface AttemptSample {
    /** The worker answered after [latencyMs]. */
    data class Served(
        val latencyMs: Long,
    ) : AttemptSample

    /** The worker was not reached, did not answer, or answered with an error of its own. */
    data object Failed : AttemptSample

    /** The attempt says nothing of the worker's health: it was cancelled or shed. */
    data object Neutral : AttemptSample
}

package io.kumquatmill.routing.worker

import io.kumquatmill.routing.model.Worker

/** Result of a search for a worker in one region. */
sealed interface WorkerChoice {
    /** A slot of [worker] was taken. */
    data class Chosen(
        val worker: Worker,
    ) : WorkerChoice

    /** Workers could serve the request, but this host has no free slot at any of them now. */
    data object NoSlot : WorkerChoice

    /** No worker may serve the request: there is none, or all are leaving, ejected or tried already. */
    data object NoWorker : WorkerChoice
}

package io.kumquatmill.routing.worker

import io.kumquatmill.routing.model.Worker

/** Result of selecting a worker in one region. */
sealed interface WorkerChoice {
    /** [worker] was selected, and one of its slots was acquired. */
    data class Chosen(
        val worker: Worker,
    ) : WorkerChoice

    /** Some workers are eligible, but this host currently has no free slot on any of them. */
    data object NoFreeSlot : WorkerChoice

    /** No worker is eligible: there is none, or all are draining, ejected or excluded. */
    data object NoEligibleWorker : WorkerChoice
}

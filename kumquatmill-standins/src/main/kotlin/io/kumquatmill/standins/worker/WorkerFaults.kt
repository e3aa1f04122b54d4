package io.kumquatmill.standins.worker

import kotlinx.serialization.Serializable

/**
 * Faults of a worker stand-in.
 *
 * Service times are multiplied by [serviceFactor]. Each of the next [answersToDelay] answers comes [delayMs] after its
 * request has run. The next [answersToCut] answers end before their stated length, the next [answersToCross] are those of
 * another request, and the next [answersToLose] are replaced by a closed connection after the request has run.
 */
@Serializable
data class WorkerFaults(
    val serviceFactor: Double = 1.0,
    val answersToDelay: Int = 0,
    val delayMs: Long = 0,
    val answersToCut: Int = 0,
    val answersToCross: Int = 0,
    val answersToLose: Int = 0,
    val load: LoadFaults = LoadFaults(),
)

/**
 * Faults of the load endpoint.
 *
 * Reports are [lagMs] old; [busySlots], [isHealthy] and [isDraining] replace the truth when they are set; while the
 * endpoint [isSilent], it does not answer.
 */
@Serializable
data class LoadFaults(
    val lagMs: Long = 0,
    val busySlots: Int? = null,
    val isHealthy: Boolean? = null,
    val isDraining: Boolean? = null,
    val isSilent: Boolean = false,
)

/** How the next answer of a worker goes wrong. */
internal enum class AnswerFault {
    CUT,
    CROSSED,
    LOST,
}

package io.kumquatmill.standins.worker

import kotlinx.serialization.Serializable

/**
 * Faults injected into a worker stand-in.
 *
 * Service times are multiplied by [serviceFactor]. Each of the next [answersToDelay] responses is sent [delayMs] after its
 * request has run. The next [answersToCut] responses are shorter than their `Content-Length`, the next [answersToCross] are
 * responses to another request, and for the next [answersToLose] the connection is closed after the request has run.
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
 * Faults injected into the load endpoint.
 *
 * Reports are [lagMs] old. [busySlots], [isHealthy] and [isDraining] override the actual values unless they are null. While
 * [isSilent] is set, the endpoint does not respond.
 */
@Serializable
data class LoadFaults(
    val lagMs: Long = 0,
    val busySlots: Int? = null,
    val isHealthy: Boolean? = null,
    val isDraining: Boolean? = null,
    val isSilent: Boolean = false,
)

/** Fault to inject into the next response of a worker. */
internal enum class ResponseFault {
    TRUNCATED,
    MISMATCHED,
    LOST,
}

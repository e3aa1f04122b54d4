package io.kumquatmill.traffic.desk

/** How one sending of a request to a worker ended, from what its connection saw. */
sealed interface AttemptResult {
    /** The worker answered in full with [status]. */
    data class Answered(
        val status: Int,
        val load: WorkerLoad?,
    ) : AttemptResult

    /** The worker was not reached: no byte of the request was sent. */
    data class Unreachable(
        val detail: String,
    ) : AttemptResult

    /** The worker says that it has not run the request and never will. */
    data class Shed(
        val load: WorkerLoad?,
    ) : AttemptResult

    /** Another worker has the address; it has not run the request. */
    data object Misdirected : AttemptResult

    /** The request was sent and its outcome is not known. */
    data class Unknown(
        val detail: String,
    ) : AttemptResult
}

package io.kumquatmill.traffic.control

/** How one attempt to send a request to a worker ended, as observed on its connection. */
sealed interface AttemptResult {
    /**
     * Whether it is certain that no worker has executed or will execute the request because of this attempt. Only then may a request that
     * is not idempotent be sent again, or be refused with a status that promises that it has not run.
     */
    val isNotRun: Boolean
        get() =
            when (this) {
                is Unreachable, is RelayFailed, is Shed, is Misdirected -> true
                is Answered, is Unknown -> false
            }

    /** Load that the worker reports with its response, or null if it reports none. */
    val load: WorkerLoad?
        get() = null

    /** What the worker's response states about the rate that it takes; only a response that can be trusted states anything. */
    val rateLimit: StatedRateLimit
        get() = StatedRateLimit.None

    /**
     * The worker sent a complete response with [status]; [load] is null if the response does not report the worker's load, and [rateLimit]
     * is what it states about the rate that the worker takes.
     */
    data class Answered(
        val status: Int,
        override val load: WorkerLoad?,
        override val rateLimit: StatedRateLimit = StatedRateLimit.None,
    ) : AttemptResult

    /**
     * The worker could not be reached, and no byte of the request was sent; [detail] states the cause for the logs, and [isRefused] whether
     * the worker's address refused the connection.
     */
    data class Unreachable(
        val detail: String,
        val isRefused: Boolean = false,
    ) : AttemptResult

    /** The peer that should have passed the request on did not, and no byte reached a worker; [detail] states the cause for the logs. */
    data class RelayFailed(
        val detail: String,
    ) : AttemptResult

    /** The worker shed the request: it has not executed it and never will. [load] is null if it did not report its load. */
    data class Shed(
        override val load: WorkerLoad?,
        override val rateLimit: StatedRateLimit = StatedRateLimit.None,
    ) : AttemptResult

    /** The address belongs to another worker, which has not executed the request. */
    data object Misdirected : AttemptResult

    /**
     * The request was sent, and it is not known whether it was executed; [detail] states the cause for the logs and the caller, and
     * [isConnectionLost] whether the connection ended before any response. [doubt] is set if there was an answer that is not believed.
     */
    data class Unknown(
        val detail: String,
        val isConnectionLost: Boolean = false,
        val doubt: AnswerDoubt? = null,
    ) : AttemptResult
}

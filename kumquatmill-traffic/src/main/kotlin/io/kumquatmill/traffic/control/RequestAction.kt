package io.kumquatmill.traffic.control

import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.placement.TrackedWorker

/** What to do next with a request. */
sealed interface RequestAction {
    /**
     * Send the request to [worker].
     *
     * @property timeoutMs time in milliseconds until the caller must get a final response
     * @property maxConnectionIdleMs how long a reused connection may have been idle, in milliseconds; 0 requires a new connection
     * @property maxIdleConnections idle connections to the worker that may stay open beside a new one
     * @property relay peer through which the request is sent, or null if it is sent directly
     */
    data class Send(
        val worker: TrackedWorker,
        val timeoutMs: Long,
        val maxConnectionIdleMs: Long,
        val maxIdleConnections: Int,
        val relay: EntryHostInfo? = null,
    ) : RequestAction

    /** Resume the request after [afterMs] milliseconds, when the workspace may have received tokens from a peer. */
    data class Wait(
        val afterMs: Long,
    ) : RequestAction

    /** Pass the worker's response on to the caller. */
    data object Deliver : RequestAction

    /** Refuse the request, which was not executed. The caller may retry after [retryAfterMs] milliseconds. */
    data class Refuse(
        val cause: RefusalCause,
        val retryAfterMs: Long,
    ) : RequestAction

    /** Fail the request without a worker's response; it may have been executed. [detail] states the cause for the caller. */
    data class Fail(
        val detail: String,
    ) : RequestAction
}

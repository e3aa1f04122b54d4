package io.kumquatmill.settings

/**
 * Limits of callers' requests and of the resources that the daemon spends on them.
 *
 * @property maxHeadBytes maximum size of a request's headers.
 * @property maxBodyBytes maximum size of a request's body.
 * @property maxResponseBytes maximum size of a worker's response.
 * @property maxBufferedBytes maximum total size of the request bodies that are held in memory.
 * @property maxConnections maximum number of open connections from callers.
 * @property maxRequestsInFlight maximum number of unfinished requests.
 * @property headTimeoutMs time within which a request's headers must arrive.
 * @property bodyTimeoutMs time within which a request's body must arrive.
 * @property idleTimeoutMs time after which a caller's idle connection is closed.
 * @property stopTimeoutMs maximum duration of a graceful shutdown.
 */
data class RequestLimits(
    val maxHeadBytes: Int,
    val maxBodyBytes: Long,
    val maxResponseBytes: Long,
    val maxBufferedBytes: Long,
    val maxConnections: Int,
    val maxRequestsInFlight: Int,
    val headTimeoutMs: Long,
    val bodyTimeoutMs: Long,
    val idleTimeoutMs: Long,
    val stopTimeoutMs: Long,
)

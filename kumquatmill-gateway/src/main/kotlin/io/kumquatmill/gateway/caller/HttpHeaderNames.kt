package io.kumquatmill.gateway.caller

/**
 * Names of the HTTP headers exchanged between callers, hosts and workers.
 *
 * @property requestId id of the request, which a response repeats
 * @property deadline time in milliseconds that the sender waits for the response
 * @property affinityKey key that requests for the same object share; they are sent to the same worker where possible
 * @property workspace name of the workspace that owns the caller's key; set by the host for workers
 * @property expectedWorker id of the only worker that may execute the request
 * @property workerLoad load of the worker, sent with a response
 * @property workerRateLimit requests per second that the worker takes from all hosts together, sent with a response
 * @property notExecuted marks the response of a worker that did not execute the request
 * @property workerProof proves that a worker generated the response
 * @property leaving marks all responses of a worker that leaves; null if workers do not say so
 * @property workerId id of the worker in those of its responses that name it; null if none do
 */
data class HttpHeaderNames(
    val requestId: String,
    val deadline: String,
    val affinityKey: String,
    val workspace: String,
    val expectedWorker: String,
    val workerLoad: String,
    val workerRateLimit: String,
    val notExecuted: String,
    val workerProof: String,
    val leaving: String? = null,
    val workerId: String? = null,
)

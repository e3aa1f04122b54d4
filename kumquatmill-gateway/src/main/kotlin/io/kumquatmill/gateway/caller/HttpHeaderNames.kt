package io.kumquatmill.gateway.caller

/**
 * Names of the headers that callers, hosts and workers exchange.
 *
 * @property objectKey key that requests for the same object share
 * @property workspace name of the key's workspace, for workers
 * @property expectedWorker worker that may run the request
 * @property load load that a worker tells with an answer
 * @property notRun tells that the worker has not run the request
 * @property proof proof that a worker made the answer
 */
data class HttpHeaderNames(
    val requestId: String,
    val deadline: String,
    val objectKey: String,
    val workspace: String,
    val expectedWorker: String,
    val load: String,
    val notRun: String,
    val proof: String,
)

package io.kumquatmill.traffic.control

/**
 * Load that a worker reports with a response.
 *
 * @property running requests that are being executed
 * @property waiting requests in the worker's queue
 * @property slots requests that the worker can execute concurrently
 */
data class WorkerLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

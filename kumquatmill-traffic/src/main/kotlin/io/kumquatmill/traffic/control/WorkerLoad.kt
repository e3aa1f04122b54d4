package io.kumquatmill.traffic.control

/**
 * Load that a worker reports with a response. A value that the worker did not report legibly is null.
 *
 * @property running requests that are being executed
 * @property waiting requests in the worker's queue
 * @property slots requests that the worker can execute concurrently
 * @property servicePercent how long work currently takes at the worker in percent of usual, from 1 to 10,000
 */
data class WorkerLoad(
    val running: Int?,
    val waiting: Int?,
    val slots: Int?,
    val servicePercent: Int? = null,
) {
    /**
     * Returns the number of requests at a worker with [knownSlots] slots, or null if the report does not show it. A queue without a legible
     * number of running requests means that all slots are busy; an empty one says nothing about them.
     */
    fun requests(knownSlots: Int): Long? =
        when {
            running != null -> running.toLong() + (waiting ?: 0)
            waiting != null && waiting > 0 -> knownSlots.toLong() + waiting
            else -> null
        }
}

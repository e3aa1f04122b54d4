package io.kumquatmill.traffic.pause

import io.kumquatmill.traffic.model.WorkerEntry

/**
 * A worker has named a pause to this host, or one that ends later than the one before.
 *
 * @property pauseMs time in milliseconds for which this host sends it nothing
 * @property statedMs time in milliseconds that the worker named
 */
data class PauseChange(
    val worker: WorkerEntry,
    val pauseMs: Long,
    val statedMs: Long,
)

package io.kumquatmill.traffic.reach

/**
 * A host was cut off from all workers, or reaches them again.
 *
 * @property failedWorkers workers to which no connection could be opened since the last one
 * @property sinceMs time in milliseconds since the first of these failures, or for which the host was cut off
 */
data class ReachChange(
    val isCutOff: Boolean,
    val failedWorkers: Int,
    val sinceMs: Long,
)

package io.kumquatmill.traffic.workerlimit

import io.kumquatmill.common.id.WorkerId

/**
 * A change of the rate limit of a worker, as this host knows it.
 *
 * @property worker name of the worker, or null if it has no entry
 * @property limitPerS requests per second that the worker takes from all hosts together, or null without a limit
 * @property beforePerS limit before the change, or null if there was none
 * @property ownRatePerS requests per second of the limit that this host may send
 * @property hosts number of known hosts
 * @property source name of the host whose observation it is
 * @property ageMs age of the observation in milliseconds
 */
data class WorkerLimitChange(
    val worker: WorkerId?,
    val limitPerS: Double?,
    val beforePerS: Double?,
    val ownRatePerS: Double,
    val hosts: Int,
    val source: String,
    val ageMs: Long,
)

package io.kumquatmill.traffic.model

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId

/**
 * Entry that a worker has published about itself.
 *
 * @property slots number of requests that the worker executes concurrently
 * @property warmUpRemainingMs remaining time in milliseconds for which the worker is cold, as of when it wrote the entry
 * @property startedAtMs Unix time of the worker's start in milliseconds; another value under the same id means a restart
 * @property revision store revision of the entry; a higher one is newer
 * @property sequence number of the entry among those that this process of the worker has written; a higher one is newer
 */
data class WorkerEntry(
    val id: WorkerId,
    val upstream: UpstreamId,
    val address: HostAddress,
    val availabilityZone: AvailabilityZoneId,
    val slots: Int,
    val isDraining: Boolean,
    val warmUpRemainingMs: Long,
    val startedAtMs: Long,
    val revision: Long,
    val sequence: Long = 0,
)

package io.kumquatmill.traffic.model

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId

/**
 * What a worker says of itself.
 *
 * @property slots requests that it processes at once
 * @property coldLeftMs how much longer it stayed cold when it said so
 * @property bornMs Unix time of its start; another value under the same id is another life
 * @property revision revision of the entry, higher is newer
 */
data class WorkerEntry(
    val id: WorkerId,
    val upstream: UpstreamId,
    val address: HostAddress,
    val availabilityZone: AvailabilityZoneId,
    val slots: Int,
    val isDraining: Boolean,
    val coldLeftMs: Long,
    val bornMs: Long,
    val revision: Long,
)

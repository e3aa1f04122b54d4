package io.kumquatmill.routing.worker

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId

/**
 * A query for a worker of [upstream] in [region].
 *
 * Workers in [preferredZone] are preferred, and those in [excludedWorkers] are never selected.
 */
data class WorkerQuery(
    val upstream: UpstreamId,
    val region: RegionId,
    val preferredZone: AvailabilityZoneId,
    val excludedWorkers: Set<WorkerId> = emptySet(),
)

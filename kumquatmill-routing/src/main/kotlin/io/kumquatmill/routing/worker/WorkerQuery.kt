package io.kumquatmill.routing.worker

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId

/** A search for a worker of [upstream] in [region]; workers in [nearZone] are preferred, those in [excluded] left out. */
data class WorkerQuery(
    val upstream: UpstreamId,
    val region: RegionId,
    val nearZone: AvailabilityZoneId,
    val excluded: Set<WorkerId> = emptySet(),
)

package io.kumquatmill.routing.model

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId

/**
 * A process of an upstream, which serves at most [slots] requests concurrently.
 *
 * [host] is the name of the worker's host in the platform's host list.
 */
data class Worker(
    val id: WorkerId,
    val upstream: UpstreamId,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
    val address: HostAddress,
    val slots: Int,
    val host: HostId = HostId(id.value),
)

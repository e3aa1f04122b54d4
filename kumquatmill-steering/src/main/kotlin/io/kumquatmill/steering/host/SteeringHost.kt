package io.kumquatmill.steering.host

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId

/** An entry host to which lookups can send callers; [capacityPerS] is its capacity in requests per second. */
data class SteeringHost(
    val host: HostId,
    val region: RegionId,
    val address: HostAddress,
    val state: SteeringHostState,
    val capacityPerS: Double = DEFAULT_CAPACITY_PER_S,
) {
    companion object {
        const val DEFAULT_CAPACITY_PER_S: Double = 1_000.0
    }
}

/** Whether callers may be sent to a host. */
enum class SteeringHostState {
    /** The host serves requests. */
    LIVE,

    /** The host may be dead or partitioned; it is listed after all live hosts. */
    SUSPECTED,

    /** The host is shutting down and is no longer listed. It still serves callers that use an earlier answer. */
    LEAVING,

    /** The host is dead or no longer listed. */
    GONE,
}

package io.kumquatmill.steering.host

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId

/** An entry host as far as look-ups need to know it; [capabilityPerS] is the number of requests it can take a second. */
data class SteerableHost(
    val host: HostId,
    val region: RegionId,
    val address: HostAddress,
    val state: SteerableState,
    val capabilityPerS: Double = DEFAULT_CAPABILITY_PER_S,
) {
    companion object {
        const val DEFAULT_CAPABILITY_PER_S: Double = 1_000.0
    }
}

/** Whether callers should be sent to a host. */
enum class SteerableState {
    /** The host takes requests. */
    LIVE,

    /** The host may be dead or cut off; it comes after all live ones. */
    SUSPECTED,

    /** The host stops and takes nothing new. */
    LEAVING,

    /** The host is dead or no longer listed. */
    GONE,
}

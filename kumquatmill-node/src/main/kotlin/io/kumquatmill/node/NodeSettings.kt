package io.kumquatmill.node

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.routing.model.Topology

/** What an entry host knows of itself and its surroundings, with defaults for everything that can have one. */
data class NodeSettings(
    val host: HostId,
    val region: RegionId,
    val availabilityZone: AvailabilityZoneId,
    val callerAddress: HostAddress,
    val peerAddress: HostAddress,
    val topology: Topology,
    val lookUpCacheMs: Long = DEFAULT_LOOK_UP_CACHE_MS,
    val refusalRetryAfterMs: Long = DEFAULT_REFUSAL_RETRY_AFTER_MS,
) {
    companion object {
        const val DEFAULT_LOOK_UP_CACHE_MS: Long = 5_000
        const val DEFAULT_REFUSAL_RETRY_AFTER_MS: Long = 1_000
    }
}

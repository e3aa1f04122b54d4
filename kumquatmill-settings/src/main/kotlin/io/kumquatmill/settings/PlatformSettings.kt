package io.kumquatmill.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.RegionId

/** How to reach the platform's key-value service and its list of hosts. */
data class PlatformSettings(
    val storeAddresses: List<HostAddress>,
    val hostListAddress: HostAddress,
    val storeRegion: RegionId,
    val storeTimeoutMs: Long,
    val hostListIntervalMs: Long,
)

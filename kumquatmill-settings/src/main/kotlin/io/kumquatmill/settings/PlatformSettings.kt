package io.kumquatmill.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.RegionId

/**
 * Connection to the platform's key-value store and host list.
 *
 * @property storeRegion region in which the key-value store runs.
 * @property storeTimeoutMs timeout of a store call.
 * @property hostListIntervalMs time between two reads of the host list.
 */
data class PlatformSettings(
    val storeAddresses: List<HostAddress>,
    val hostListAddress: HostAddress,
    val storeRegion: RegionId,
    val storeTimeoutMs: Long,
    val hostListIntervalMs: Long,
)

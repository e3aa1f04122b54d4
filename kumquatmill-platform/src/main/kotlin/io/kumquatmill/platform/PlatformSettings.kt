package io.kumquatmill.platform

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.fleet.HostAddress

/**
 * How to reach the platform's key-value service and host list.
 *
 * The [addresses] are tried in order until one takes the call. A call may take [callTimeoutMs], of which connecting may
 * take [connectTimeoutMs]; a watch may take its waiting time in addition. At most [maxIdleConnections] stay open between
 * calls.
 */
data class PlatformSettings(
    val addresses: List<HostAddress>,
    val connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
    val callTimeoutMs: Long = DEFAULT_CALL_TIMEOUT_MS,
    val maxIdleConnections: Int = DEFAULT_MAX_IDLE_CONNECTIONS,
) {
    init {
        require(addresses.isNotEmpty()) { "no address of the platform: give at least one" }
    }

    companion object {
        const val DEFAULT_CONNECT_TIMEOUT_MS: Long = 500
        const val DEFAULT_CALL_TIMEOUT_MS: Long = 2_000
        const val DEFAULT_MAX_IDLE_CONNECTIONS: Int = 4
    }
}

/** Builds [PlatformSettings]; see [platformSettings]. */
@KumquatmillDsl
class PlatformSettingsBuilder {
    private val addresses = mutableListOf<HostAddress>()
    var connectTimeoutMs: Long = PlatformSettings.DEFAULT_CONNECT_TIMEOUT_MS
    var callTimeoutMs: Long = PlatformSettings.DEFAULT_CALL_TIMEOUT_MS
    var maxIdleConnections: Int = PlatformSettings.DEFAULT_MAX_IDLE_CONNECTIONS

    /** Adds an address of the platform. */
    fun address(address: HostAddress) {
        addresses += address
    }

    internal fun build(): PlatformSettings = PlatformSettings(addresses.toList(), connectTimeoutMs, callTimeoutMs, maxIdleConnections)
}

/** Returns settings with the given addresses and changes to the defaults. */
fun platformSettings(configure: PlatformSettingsBuilder.() -> Unit): PlatformSettings = PlatformSettingsBuilder().apply(configure).build()

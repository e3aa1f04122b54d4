package io.kumquatmill.platform

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.fleet.HostAddress

/**
 * Settings of a client of the platform's key-value store or host list.
 *
 * @property addresses addresses that are tried in turn until a call can be sent; must not be empty.
 * @property connectTimeoutMs timeout for opening a connection, part of [callTimeoutMs].
 * @property callTimeoutMs timeout of a whole call; the wait time of a watch is added to it.
 * @property maxIdleConnections maximum number of connections that are kept open between calls.
 */
data class PlatformClientSettings(
    val addresses: List<HostAddress>,
    val connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
    val callTimeoutMs: Long = DEFAULT_CALL_TIMEOUT_MS,
    val maxIdleConnections: Int = DEFAULT_MAX_IDLE_CONNECTIONS,
) {
    init {
        require(addresses.isNotEmpty()) { "no platform address is configured: add at least one" }
    }

    companion object {
        const val DEFAULT_CONNECT_TIMEOUT_MS: Long = 500
        const val DEFAULT_CALL_TIMEOUT_MS: Long = 2_000
        const val DEFAULT_MAX_IDLE_CONNECTIONS: Int = 4
    }
}

/** Builds [PlatformClientSettings]; see [platformClientSettings]. */
@KumquatmillDsl
class PlatformClientSettingsBuilder {
    private val addresses = mutableListOf<HostAddress>()
    var connectTimeoutMs: Long = PlatformClientSettings.DEFAULT_CONNECT_TIMEOUT_MS
    var callTimeoutMs: Long = PlatformClientSettings.DEFAULT_CALL_TIMEOUT_MS
    var maxIdleConnections: Int = PlatformClientSettings.DEFAULT_MAX_IDLE_CONNECTIONS

    /** Adds an address of the platform. */
    fun address(address: HostAddress) {
        addresses += address
    }

    internal fun build(): PlatformClientSettings =
        PlatformClientSettings(addresses.toList(), connectTimeoutMs, callTimeoutMs, maxIdleConnections)
}

/** Builds settings in which [configure] adds at least one address and overrides defaults. */
fun platformClientSettings(configure: PlatformClientSettingsBuilder.() -> Unit): PlatformClientSettings =
    PlatformClientSettingsBuilder().apply(configure).build()

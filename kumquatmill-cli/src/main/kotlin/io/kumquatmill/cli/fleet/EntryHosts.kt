package io.kumquatmill.cli.fleet

import io.kumquatmill.common.fleet.HostAddress
import kotlinx.serialization.Serializable

/** Answer of a look-up: the hosts that a caller should use, the best first. */
@Serializable
data class EntryHosts(
    val hosts: List<EntryHost>,
    val alternates: List<EntryHost> = emptyList(),
    val cacheMs: Long,
) {
    /** One host of a look-up's answer. */
    @Serializable
    data class EntryHost(
        val host: String,
        val region: String,
        val address: HostAddress,
    )
}

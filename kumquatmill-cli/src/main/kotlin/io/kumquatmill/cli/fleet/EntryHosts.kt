package io.kumquatmill.cli.fleet

import io.kumquatmill.common.fleet.HostAddress
import kotlinx.serialization.Serializable

/**
 * Response to a lookup of entry hosts.
 *
 * @property hosts hosts that the caller should use, in order of preference.
 * @property alternates hosts to use if none of [hosts] can be reached.
 * @property cacheMs time for which the caller may cache the response.
 */
@Serializable
data class EntryHosts(
    val hosts: List<EntryHost>,
    val alternates: List<EntryHost> = emptyList(),
    val cacheMs: Long,
) {
    /** Name, region and caller address of one entry host. */
    @Serializable
    data class EntryHost(
        val host: String,
        val region: String,
        val address: HostAddress,
    )
}

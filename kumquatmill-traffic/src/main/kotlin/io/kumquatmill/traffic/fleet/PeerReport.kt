package io.kumquatmill.traffic.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Report that a host sends to its peers every few hundred milliseconds; each report replaces the previous one.
 *
 * @property incarnation Unix time of the host's start in milliseconds; it increases with each restart
 * @property sequence number of the report within its incarnation
 * @property storeRevision highest store revision that the host has applied
 * @property demandPerS demand at this host by workspace, in requests per second; workspaces without demand are left out
 * @property sharesPerMille the host's shares of the workspaces' rate limits in thousandths, rounded up; idle shares of workspaces
 * without demand are left out
 * @property stalePeers names of the peers without a fresh report
 */
@Serializable
data class PeerReport(
    @SerialName("h") val host: String,
    @SerialName("i") val incarnation: Long,
    @SerialName("n") val sequence: Long,
    @SerialName("ip") val ip: String,
    @SerialName("r") val region: String,
    @SerialName("z") val availabilityZone: String,
    @SerialName("v") val storeRevision: Long,
    @SerialName("s") val isServing: Boolean,
    @SerialName("d") val demandPerS: Map<String, Double> = emptyMap(),
    @SerialName("q") val sharesPerMille: Map<String, Int> = emptyMap(),
    @SerialName("p") val stalePeers: List<String> = emptyList(),
)

package io.kumquatmill.cli.fleet

import kotlinx.serialization.Serializable

/** What a host tells operators of itself at `/v1/status`. */
@Serializable
data class HostStatus(
    val host: String,
    val incarnation: Long,
    val lifecycle: String,
    val configurationRevision: Long,
    val rosterEpoch: Long,
    val hasStanding: Boolean,
    val inFlightRequests: Int,
    val queuedRequests: Int,
    val shares: List<Share> = emptyList(),
) {
    /** Units of one limit that the host may use now. */
    @Serializable
    data class Share(
        val limit: String,
        val units: Long,
        val totalUnits: Long,
    )
}

/** A host with its status, or with the reason why it could not be asked. */
@Serializable
data class HostReport(
    val host: String,
    val address: String,
    val status: HostStatus? = null,
    val problem: String? = null,
)

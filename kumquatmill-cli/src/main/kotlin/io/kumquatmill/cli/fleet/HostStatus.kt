package io.kumquatmill.cli.fleet

import kotlinx.serialization.Serializable

/**
 * Status that a host reports to operators at `/v1/status`.
 *
 * @property incarnation number that increases when the host restarts, is replaced or is evicted.
 * @property lifecycle wire name of the lifecycle phase of the host, for example `live`.
 * @property configurationRevision revision of the configuration that is in force on the host.
 * @property rosterEpoch epoch of the host's current roster.
 * @property hasStanding whether the host currently has permission to use its shares.
 * @property inFlightRequests number of accepted requests that are neither queued nor completed.
 * @property queuedRequests number of requests that wait for a worker.
 * @property shares the host's share of each limit.
 */
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
    /**
     * Share of a host in one limit.
     *
     * @property limit name of the limit.
     * @property units units that the host may use now.
     * @property totalUnits units of the limit over all hosts.
     */
    @Serializable
    data class Share(
        val limit: String,
        val units: Long,
        val totalUnits: Long,
    )
}

/**
 * Result of fetching the status of a host.
 *
 * @property status status of the host, or null if it could not be fetched.
 * @property problem error message if the status could not be fetched, or else null.
 */
@Serializable
data class HostReport(
    val host: String,
    val address: String,
    val status: HostStatus? = null,
    val problem: String? = null,
)

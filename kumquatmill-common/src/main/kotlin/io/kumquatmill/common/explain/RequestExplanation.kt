package io.kumquatmill.common.explain

import kotlinx.serialization.Serializable

/**
 * Response to `GET /peer/explain`: what a host would do with a request now, and why. All times are milliseconds.
 *
 * @property host name of the host that responds
 * @property route matching route, or null if none matches or the host cannot tell yet
 * @property rateLimit rate limit of the workspace, or null without a workspace
 * @property candidates workers of the route's upstream, most preferred first and those in evacuated zones last
 */
@Serializable
data class RequestExplanation(
    val host: String,
    val route: Route? = null,
    val rateLimit: RateLimit? = null,
    val candidates: List<Candidate> = emptyList(),
    val outcome: Outcome,
) {
    /**
     * Route of the request.
     *
     * @property service upstream whose turn it is, or null if the route has none
     * @property kind `idempotent`, `not-idempotent` or `download`
     * @property priority priority of the route; 0 is the highest
     * @property timeoutMs time until the caller gets a response, or null if only its own deadline applies
     */
    @Serializable
    data class Route(
        val name: String,
        val service: String? = null,
        val kind: String,
        val priority: Int,
        val targetLatencyMs: Long,
        val timeoutMs: Long? = null,
    )

    /**
     * Rate limit of a workspace and its decision.
     *
     * @property ratePerS requests per second over all hosts; 0 means no limit
     * @property decision `admitted`, `waits` or `refused`
     * @property remainingTokens tokens that this host has now, or null without a limit
     */
    @Serializable
    data class RateLimit(
        val workspace: String,
        val ratePerS: Double,
        val burst: Double,
        val decision: String,
        val remainingTokens: Double? = null,
    )

    /**
     * A worker of the route's upstream.
     *
     * @property isUsable whether the worker may get the request; of several, the one with the lowest expected cost does
     * @property reason why the worker may not get the request, or null if it may
     * @property waitMs expected time in the worker's queue
     * @property serviceMs expected service time including the network
     * @property loadReportAgeMs age of the latest report of the worker's load, or null if there is none
     */
    @Serializable
    data class Candidate(
        val worker: String,
        val zone: String,
        val isUsable: Boolean,
        val reason: String? = null,
        val waitMs: Long,
        val serviceMs: Long,
        val loadReportAgeMs: Long? = null,
    )

    /**
     * First action on the request.
     *
     * @property action `sent` to [worker], `queued` at the host until its workspace has a token, or `rejected`
     * @property waitMs expected time in the worker's queue if the request is sent, or at the host if it is queued
     * @property isThroughPeer whether the host is cut off from all workers, so that a peer passes the request on
     * @property status status of the response to a rejected request
     * @property reason error code of the response to a rejected request
     * @property retryAfterMs time after which the caller of a rejected request may retry, or null if none is stated
     */
    @Serializable
    data class Outcome(
        val action: String,
        val worker: String? = null,
        val waitMs: Long? = null,
        val isThroughPeer: Boolean = false,
        val status: Int? = null,
        val reason: String? = null,
        val message: String? = null,
        val retryAfterMs: Long? = null,
    )

    companion object {
        /** Path of the endpoint on the peer-state listener of a host. */
        const val PATH: String = "/peer/explain"

        const val HOST_PARAMETER: String = "host"
        const val PATH_PARAMETER: String = "path"
        const val METHOD_PARAMETER: String = "method"
        const val AFFINITY_PARAMETER: String = "affinity"
        const val WORKSPACE_PARAMETER: String = "workspace"
    }
}

package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.UpstreamId

/**
 * Configuration requested by the operators.
 *
 * @property version version of the whole configuration, which increases with each change
 * @property isKeyRequired whether requests on routes that are not public need the key of a workspace, even if no workspace has one
 * @property maxBodyBytes maximum size of a request body in bytes
 */
data class DesiredState(
    val version: Long,
    val routes: List<TrafficRoute>,
    val workspaces: List<Workspace>,
    val isKeyRequired: Boolean,
    val upstreams: Map<UpstreamId, Upstream>,
    val maxBodyBytes: Long,
) {
    /** Distinct priorities of the routes, the most urgent first. */
    val routePriorities: List<Int> =
        routes
            .map { it.priority }
            .distinct()
            .sorted()
}

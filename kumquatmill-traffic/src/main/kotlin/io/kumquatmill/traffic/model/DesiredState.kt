package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.UpstreamId

/**
 * Configuration requested by the operators.
 *
 * @property version version of the whole configuration, which increases with each change
 * @property maxBodyBytes maximum size of a request body in bytes
 */
data class DesiredState(
    val version: Long,
    val routes: List<TrafficRoute>,
    val workspaces: List<Workspace>,
    val upstreams: Map<UpstreamId, Upstream>,
    val maxBodyBytes: Long,
)

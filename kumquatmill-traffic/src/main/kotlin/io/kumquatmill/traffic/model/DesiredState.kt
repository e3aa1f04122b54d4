package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.UpstreamId

/** What operators ask for, in one [version]; versions only grow. */
data class DesiredState(
    val version: Long,
    val routes: List<TrafficRoute>,
    val workspaces: List<Workspace>,
    val upstreams: Map<UpstreamId, Upstream>,
    val maxBodyBytes: Long,
)

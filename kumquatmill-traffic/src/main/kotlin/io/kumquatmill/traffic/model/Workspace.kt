package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkspaceId

/**
 * A workspace of the desired state with its keys and its rate limit over all hosts together.
 *
 * @property keys keys by which callers identify themselves
 * @property ratePerS requests per second; 0 means no limit
 * @property burst number of requests that may exceed the rate at once
 * @property homeRegions regions in which its requests may be executed; empty means all
 */
data class Workspace(
    val id: WorkspaceId,
    val keys: Set<String>,
    val ratePerS: Double,
    val burst: Double,
    val priority: Int,
    val homeRegions: Set<RegionId>,
)

package io.kumquatmill.node.effect

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId

/**
 * A decision of the node, for the decision log; fields that do not apply are null.
 *
 * [reason] is the wire name of the reason for a refusal, or a short text for any other decision.
 */
data class Decision(
    val kind: DecisionKind,
    val reason: String,
    val request: RequestId? = null,
    val workspace: WorkspaceId? = null,
    val route: RouteId? = null,
    val region: RegionId? = null,
    val worker: WorkerId? = null,
    val outcome: String? = null,
)

package io.kumquatmill.node.request

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.routing.model.Route

/** Route, workspace and plan of an admitted request; [workspace] and [plan] are null on routes that need no key. */
internal data class AdmittedRequest(
    val route: Route,
    val workspace: WorkspaceId?,
    val plan: Plan?,
)

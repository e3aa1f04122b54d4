package io.kumquatmill.node.request

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.routing.model.Route

/** Who a request runs for and where it goes; [plan] is null on open routes without a key. */
internal data class Admitted(
    val route: Route,
    val workspace: WorkspaceId?,
    val plan: Plan?,
)

package io.kumquatmill.routing.idempotency

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkspaceId

/** A caller's mark on a request: two requests of one workspace and route with the same [value] are one. */
data class IdempotencyKey(
    val workspace: WorkspaceId?,
    val route: RouteId,
    val value: String,
)

package io.kumquatmill.routing.idempotency

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkspaceId

/** Idempotency key sent by a caller. Requests with the same [workspace], [route] and [value] are the same request. */
data class IdempotencyKey(
    val workspace: WorkspaceId?,
    val route: RouteId,
    val value: String,
)

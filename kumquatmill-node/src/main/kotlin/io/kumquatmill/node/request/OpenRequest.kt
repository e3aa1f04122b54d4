package io.kumquatmill.node.request

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.routing.idempotency.IdempotencyKey
import io.kumquatmill.routing.request.RequestState

/** A request that was admitted and has not been answered yet. */
internal class OpenRequest(
    var state: RequestState,
    val weight: Int,
    val bodyBytes: Long,
    val idempotencyKey: IdempotencyKey?,
) {
    /** Whether a worker was looked for before, in vain or not. */
    var wasOffered: Boolean = false

    /** The attempt that is under way, if any. */
    var attempt: ActiveAttempt? = null

    val id: RequestId
        get() = state.id

    val workspace: WorkspaceId?
        get() = state.workspace

    val triedWorkers: Set<WorkerId>
        get() = state.triedWorkers.toSet()
}

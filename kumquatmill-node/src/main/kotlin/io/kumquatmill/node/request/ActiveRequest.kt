package io.kumquatmill.node.request

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.routing.idempotency.IdempotencyKey
import io.kumquatmill.routing.request.RequestState

/** An admitted request that has no final response yet. */
internal class ActiveRequest(
    var state: RequestState,
    val weight: Int,
    val bodyBytes: Long,
    val idempotencyKey: IdempotencyKey?,
) {
    /** Whether dispatch has been tried before, whether or not it succeeded. */
    var hasTriedDispatch: Boolean = false

    /** The attempt in progress, or null if there is none. */
    var attempt: ActiveAttempt? = null

    val id: RequestId
        get() = state.id

    val workspace: WorkspaceId?
        get() = state.workspace

    val triedWorkers: Set<WorkerId>
        get() = state.triedWorkers.toSet()
}

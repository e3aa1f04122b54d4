package io.kumquatmill.node.request

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.routing.model.Route

/** A request that was admitted and has not been answered yet. */
internal class RequestState(
    val id: RequestId,
    val route: Route,
    val workspace: WorkspaceId?,
    val arrivedAtMs: Long,
    val deadlineAtMs: Long,
    val bodyBytes: Long,
    val idempotencyKey: String?,
) {
    /** Workers that an earlier attempt of this request has tried. */
    val triedWorkers: MutableSet<WorkerId> = mutableSetOf()

    /** Number of attempts sent so far. */
    var attemptCount: Int = 0

    /** The attempt that is under way, if any. */
    var attempt: ActiveAttempt? = null

    /** Returns the time left until the deadline, in milliseconds; not positive once it has passed. */
    fun remainingMs(nowMs: Long): Long = deadlineAtMs - nowMs
}

/** An attempt that was sent to [worker] and has not ended yet. */
internal data class ActiveAttempt(
    val id: AttemptId,
    val worker: WorkerId,
    val region: RegionId,
    val sentAtMs: Long,
)

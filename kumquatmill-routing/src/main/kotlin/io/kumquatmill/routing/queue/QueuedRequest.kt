package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId

/**
 * A request that waits for a slot.
 *
 * [weight] is the workspace's share against the others. [serviceMs] is the measured service time of the route: the
 * request has to start that long before [deadlineAtMs]. [cost] is what it takes from its workspace's turn.
 */
data class QueuedRequest(
    val id: RequestId,
    val workspace: WorkspaceId,
    val weight: Int,
    val deadlineAtMs: Long,
    val serviceMs: Long,
    val cost: Double = 1.0,
) {
    /** Last time at which the request can start and still meet its deadline. */
    val latestStartAtMs: Long
        get() = deadlineAtMs - serviceMs
}

package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId

/**
 * A request that waits for a slot.
 *
 * [weight] is the weight of its workspace relative to the others. [serviceMs] is the expected service time of its route: the
 * request must start at least that long before [deadlineAtMs], and its cost to the workspace is proportional to it.
 */
data class QueuedRequest(
    val id: RequestId,
    val workspace: WorkspaceId,
    val weight: Int,
    val deadlineAtMs: Long,
    val serviceMs: Long,
) {
    /** Latest time at which the request can start and still meet its deadline. */
    val latestStartAtMs: Long
        get() = deadlineAtMs - serviceMs
}

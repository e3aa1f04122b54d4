package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId

/**
 * A request that waits for a slot.
 *
 * [weight] is the workspace's share against the others. [serviceMs] is the measured service time of the route: the
 * request has to start that long before [deadlineAtMs], and takes a turn of its workspace in proportion.
 */
data class QueuedRequest(
    val id: RequestId,
    val workspace: WorkspaceId,
    val weight: Int,
    val deadlineAtMs: Long,
    val serviceMs: Long,
) {
    /** Last time at which the request can start and still meet its deadline. */
    val latestStartAtMs: Long
        get() = deadlineAtMs - serviceMs
}

package io.kumquatmill.routing.queue

import io.kumquatmill.common.outcome.Outcome

/** A request that was removed from the queue because it can no longer meet its deadline, and its final outcome. */
data class ExpiredRequest(
    val request: QueuedRequest,
    val outcome: Outcome.NotRun,
)

package io.kumquatmill.routing.queue

import io.kumquatmill.common.outcome.Outcome

/** A queued request that is given up because it can't meet its deadline any more. */
data class QueueRefusal(
    val request: QueuedRequest,
    val outcome: Outcome.NotRun,
)

package io.kumquatmill.routing.queue

import io.kumquatmill.common.outcome.Outcome

/** Answer of a [FairQueue] to a new request. */
sealed interface QueueOffer {
    /** The request waits; its expected wait is [expectedWaitMs]. */
    data class Queued(
        val expectedWaitMs: Long,
    ) : QueueOffer

    /** The request is refused at once. */
    data class Refused(
        val outcome: Outcome.NotRun,
    ) : QueueOffer
}

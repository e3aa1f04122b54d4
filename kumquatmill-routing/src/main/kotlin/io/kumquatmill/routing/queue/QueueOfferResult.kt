package io.kumquatmill.routing.queue

import io.kumquatmill.common.outcome.Outcome

/** Result of [FairQueue.offer]. */
sealed interface QueueOfferResult {
    /** The request was queued and is expected to wait for [expectedWaitMs]. */
    data class Queued(
        val expectedWaitMs: Long,
    ) : QueueOfferResult

    /** The request was refused and is not in the queue. */
    data class Refused(
        val outcome: Outcome.NotRun,
    ) : QueueOfferResult
}

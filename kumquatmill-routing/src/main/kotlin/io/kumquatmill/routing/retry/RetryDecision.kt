package io.kumquatmill.routing.retry

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.outcome.Outcome

/** Decision of a [RetryPolicy] after an attempt has ended. */
sealed interface RetryDecision {
    /** Retry immediately, on a worker that is not in [excludedWorkers]. */
    data class Retry(
        val excludedWorkers: Set<WorkerId>,
    ) : RetryDecision

    /** Respond to the caller immediately with [outcome]. */
    data class Final(
        val outcome: Outcome,
    ) : RetryDecision
}

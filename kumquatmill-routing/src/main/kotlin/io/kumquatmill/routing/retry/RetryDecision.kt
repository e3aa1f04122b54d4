package io.kumquatmill.routing.retry

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.outcome.Outcome

/** What to do after an attempt has ended. */
sealed interface RetryDecision {
    /** Try again at once, at a worker that is not in [excluded]. */
    data class Retry(
        val excluded: Set<WorkerId>,
    ) : RetryDecision

    /** Answer the caller at once with [outcome]. */
    data class Final(
        val outcome: Outcome,
    ) : RetryDecision
}

package io.kumquatmill.routing.region

import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.model.Worker

/** Result of selecting a worker across all regions. */
sealed interface RegionChoice {
    /**
     * [worker] was selected. Its slot is acquired, and so is the link if the worker is in another region than this host.
     *
     * [isShifted] is true if the worker is in another region than the caller.
     */
    data class Chosen(
        val worker: Worker,
        val isShifted: Boolean,
    ) : RegionChoice

    /** No region can serve the request now; it may be retried after [retryAfterMs]. */
    data class Refused(
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : RegionChoice
}

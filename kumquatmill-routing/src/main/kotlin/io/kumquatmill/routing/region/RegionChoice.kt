package io.kumquatmill.routing.region

import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.model.Worker

/** Result of a search for a worker in all regions. */
sealed interface RegionChoice {
    /** A slot of [worker], and the link to it if it has another region, were taken. */
    data class Chosen(
        val worker: Worker,
        val isShifted: Boolean,
    ) : RegionChoice

    /** No region may serve the request now. */
    data class Refused(
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : RegionChoice
}

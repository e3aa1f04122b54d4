package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.placement.PlacementChoice
import io.kumquatmill.traffic.placement.PreviewedWorker
import io.kumquatmill.traffic.ratelimit.RateLimitDecision

/**
 * What a controller would do with a request now, and why.
 *
 * @property resolution route and workspace of the request, or why there are none
 * @property rateLimit decision of the workspace's rate limit, or null without a workspace
 * @property remainingTokens tokens of the workspace that this host has now, or null without a rate limit
 * @property upstream upstream whose turn it is, or null if the route has none
 * @property workers workers of [upstream], most preferred first and those in evacuated zones last
 * @property outcome first action on the request; null if it is not resolved
 */
class RequestPreview internal constructor(
    val resolution: RouteResolution,
    val rateLimit: RateLimitDecision? = null,
    val remainingTokens: Double? = null,
    val upstream: UpstreamId? = null,
    val workers: List<PreviewedWorker> = emptyList(),
    val outcome: PreviewedOutcome? = null,
)

/** First action on a request, if it came now. */
sealed interface PreviewedOutcome {
    /**
     * The request would be sent to the worker of [choice].
     *
     * @property isHostCutOff whether the host is cut off from all workers, so that a peer would pass the request on; which one is random
     */
    class Sent internal constructor(
        val choice: PlacementChoice.Chosen,
        val isHostCutOff: Boolean,
    ) : PreviewedOutcome

    /** The request would wait at this host for rate tokens, for [afterMs] milliseconds at first. */
    class Queued internal constructor(
        val afterMs: Long,
    ) : PreviewedOutcome

    /** The request would be refused with [action]. */
    class Refused internal constructor(
        val action: RequestAction.Refuse,
    ) : PreviewedOutcome
}

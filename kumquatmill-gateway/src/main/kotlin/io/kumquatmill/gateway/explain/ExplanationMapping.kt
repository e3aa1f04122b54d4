package io.kumquatmill.gateway.explain

import io.kumquatmill.common.explain.RequestExplanation
import io.kumquatmill.gateway.caller.LocalResponse
import io.kumquatmill.traffic.control.PreviewedOutcome
import io.kumquatmill.traffic.control.RequestPreview
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Workspace
import io.kumquatmill.traffic.placement.PreviewedWorker
import io.kumquatmill.traffic.ratelimit.RateLimitDecision
import kotlin.math.roundToLong

/** Returns the response that tells [preview], which the host named [hostName] made at [nowMs]. */
internal fun explanationOf(
    nowMs: Long,
    hostName: String,
    preview: RequestPreview,
): RequestExplanation {
    val resolved = preview.resolution as? RouteResolution.Resolved
    return RequestExplanation(
        host = hostName,
        route = resolved?.let { routeOf(it.route, preview) },
        rateLimit = resolved?.workspace?.let { rateLimitOf(it, preview) },
        candidates = preview.workers.map { candidateOf(nowMs, it) },
        outcome = outcomeOf(preview),
    )
}

private fun routeOf(
    route: TrafficRoute,
    preview: RequestPreview,
) = RequestExplanation.Route(
    name = route.id.value,
    service = preview.upstream?.value,
    kind =
        when {
            route.isBulk -> "download"
            route.isIdempotent -> "idempotent"
            else -> "not-idempotent"
        },
    priority = route.priority,
    targetLatencyMs = route.targetLatencyMs,
    timeoutMs = route.timeoutMs,
)

private fun rateLimitOf(
    workspace: Workspace,
    preview: RequestPreview,
) = RequestExplanation.RateLimit(
    workspace = workspace.id.value,
    ratePerS = workspace.ratePerS,
    burst = workspace.burst,
    decision =
        when (preview.rateLimit) {
            is RateLimitDecision.Pending -> "waits"
            is RateLimitDecision.Refused -> "refused"
            is RateLimitDecision.Granted, null -> "admitted"
        },
    remainingTokens = preview.remainingTokens,
)

private fun candidateOf(
    nowMs: Long,
    previewed: PreviewedWorker,
) = RequestExplanation.Candidate(
    worker = previewed.worker.entry.id.value,
    zone = previewed.worker.entry.availabilityZone.value,
    isUsable = previewed.obstacle == null,
    reason = previewed.obstacle?.wireName,
    waitMs = previewed.waitMs.roundToLong(),
    serviceMs = previewed.serviceMs.roundToLong(),
    loadReportAgeMs = previewed.worker.loadReportAgeMs(nowMs),
)

private fun outcomeOf(preview: RequestPreview): RequestExplanation.Outcome =
    when (preview.resolution) {
        is RouteResolution.NotReady -> rejected(LocalResponse.hostStarting)
        is RouteResolution.UnknownRoute -> rejected(LocalResponse.unknownRoute)
        is RouteResolution.UnknownKey -> rejected(LocalResponse.unknownKey)
        is RouteResolution.Resolved ->
            when (val outcome = checkNotNull(preview.outcome) { "a resolved request has no outcome" }) {
                is PreviewedOutcome.Refused -> rejected(LocalResponse.refused(outcome.action.cause, outcome.action.retryAfterMs))
                is PreviewedOutcome.Queued -> RequestExplanation.Outcome(action = "queued", waitMs = outcome.afterMs)
                is PreviewedOutcome.Sent ->
                    RequestExplanation.Outcome(
                        action = "sent",
                        worker = outcome.choice.worker.entry.id.value,
                        waitMs = outcome.choice.waitMs.roundToLong(),
                        isThroughPeer = outcome.isHostCutOff,
                    )
            }
    }

private fun rejected(response: LocalResponse) =
    RequestExplanation.Outcome(
        action = "rejected",
        status = response.status,
        reason = response.reason,
        message = response.message,
        retryAfterMs = response.retryAfterMs,
    )

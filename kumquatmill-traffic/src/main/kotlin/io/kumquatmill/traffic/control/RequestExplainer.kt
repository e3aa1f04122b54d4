package io.kumquatmill.traffic.control

import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.ratelimit.RateLimitDecision
import io.kumquatmill.traffic.ratelimit.WorkspaceRateLimiter

/** Previews the decisions on a request with the classes that make them, without a change of their state. */
internal class RequestExplainer(
    private val admission: RequestAdmission,
    private val nextAttempt: NextAttempt,
    private val rateLimiter: WorkspaceRateLimiter,
) {
    /** See [TrafficController.explain]. */
    fun explain(
        nowMs: Long,
        explained: ExplainedRequest,
    ): RequestPreview {
        val named = explained.workspace?.let { admission.workspaceNamed(it) }
        val resolved = admission.resolveOf(explained.host, explained.target.substringBefore('?'), named)
        if (resolved !is RouteResolution.Resolved) return RequestPreview(resolved)
        val fingerprint = RequestFingerprint.of(explained.method, explained.host, explained.target, resolved.workspace?.id, NO_BODY)
        val request = admission.previewRequest(nowMs, resolved, explained.affinityKey, REQUEST_ID, fingerprint)
        return RequestPreview(
            resolution = resolved,
            rateLimit = resolved.workspace?.let { admission.previewRateLimit(nowMs, resolved) },
            remainingTokens = resolved.workspace?.let { rateLimiter.remainingTokens(nowMs, it.id) },
            upstream = request?.upstream,
            workers = request?.let { nextAttempt.previewWorkers(nowMs, it) }.orEmpty(),
            outcome = outcome(nowMs, admission.preview(nowMs, resolved, fingerprint), request),
        )
    }

    private fun outcome(
        nowMs: Long,
        admission: Admission,
        request: TrafficRequest?,
    ): PreviewedOutcome? =
        when (admission) {
            is Admission.Refused -> PreviewedOutcome.Refused(admission.action)
            is Admission.Admitted -> {
                val rateLimit = admission.rateLimit
                if (rateLimit is RateLimitDecision.Pending) {
                    PreviewedOutcome.Queued(rateLimit.afterMs)
                } else {
                    request?.let { nextAttempt.preview(nowMs, it) }
                }
            }
        }

    private companion object {
        /** Stands for the id of a request: without an affinity key it decides which workers are preferred. */
        const val REQUEST_ID = "explain"
        val NO_BODY = ByteArray(0)
    }
}

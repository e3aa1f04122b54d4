package io.kumquatmill.traffic.control

import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.admission.CapacityAdmission
import io.kumquatmill.traffic.crash.CrashingRequests
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Workspace
import io.kumquatmill.traffic.ratelimit.RateLimitDecision
import io.kumquatmill.traffic.ratelimit.WorkspaceRateLimiter
import io.kumquatmill.traffic.route.RouteIndex
import io.kumquatmill.traffic.route.WeightedRoundRobin
import kotlin.math.min

/**
 * Admission: decides whether a request may be sent at all, by route, key, quarantine and rate limit.
 *
 * @param first returns the first action for a request that is admitted
 */
internal class RequestAdmission(
    private val rateLimiter: WorkspaceRateLimiter,
    private val crashingRequests: CrashingRequests,
    private val capacity: CapacityAdmission,
    private val first: (nowMs: Long, request: TrafficRequest) -> RequestAction,
) {
    private val roundRobin = WeightedRoundRobin()
    private val recordingSteps = AdmissionSteps(crashingRequests::quarantinedForMs, rateLimiter::take, roundRobin::next)
    private val previewSteps = AdmissionSteps(crashingRequests::peekQuarantinedForMs, rateLimiter::preview, roundRobin::peek)
    private val callerRetries = CallerRetryDetector()
    private var desired: DesiredState? = null
    private var routes = RouteIndex(emptyList())
    private var workspacesByKey: Map<String, Workspace> = emptyMap()

    /** Applies a new [desired] state. */
    fun update(
        nowMs: Long,
        desired: DesiredState,
    ) {
        this.desired = desired
        routes = RouteIndex(desired.routes)
        workspacesByKey = desired.workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()
        rateLimiter.update(nowMs, desired.workspaces)
        capacity.update(desired)
    }

    /** See [TrafficController.resolve]. */
    fun resolve(
        host: String,
        path: String,
        key: String?,
    ): RouteResolution = resolveOf(host, path, key?.let { workspacesByKey[it] })

    /** Returns what [resolve] returns for a request with a key of [workspace], or without one if it is null. */
    fun resolveOf(
        host: String,
        path: String,
        workspace: Workspace?,
    ): RouteResolution {
        val desired = this.desired ?: return RouteResolution.NotReady
        val route = routes.match(host, path) ?: return RouteResolution.UnknownRoute
        val needsKey = !route.isPublic && desired.isKeyRequired
        return if (needsKey && workspace == null) RouteResolution.UnknownKey else RouteResolution.Resolved(route, workspace)
    }

    /** Returns the workspace with [name], or null if the desired state has none. */
    fun workspaceNamed(name: String): Workspace? = desired?.workspaces?.find { it.id.value == name }

    /** See [TrafficController.begin]. */
    fun begin(
        nowMs: Long,
        resolved: RouteResolution.Resolved,
        affinityKey: String?,
        requestId: String,
        deadlineMs: Long?,
        fingerprint: RequestFingerprint,
    ): Pair<TrafficRequest?, RequestAction> {
        val admitted =
            when (val admission = admit(nowMs, resolved, fingerprint, recordingSteps)) {
                is Admission.Refused -> return null to admission.action
                is Admission.Admitted -> admission
            }
        val request = requestOf(nowMs, resolved, admitted.upstream, affinityKey, requestId, deadlineMs, fingerprint)
        val decision = admitted.rateLimit
        return request to
            (if (decision is RateLimitDecision.Pending) waitForTokens(request, decision) else first(nowMs, request))
    }

    /** Returns the admission that [begin] would decide on now, without recording anything. */
    fun preview(
        nowMs: Long,
        resolved: RouteResolution.Resolved,
        fingerprint: RequestFingerprint,
    ): Admission = admit(nowMs, resolved, fingerprint, previewSteps)

    /** Returns what the rate limit of [resolved] would decide now, without taking a token. */
    fun previewRateLimit(
        nowMs: Long,
        resolved: RouteResolution.Resolved,
    ): RateLimitDecision = rateLimitOf(nowMs, resolved, previewSteps)

    /** Returns the request that [begin] would start now if it were admitted, or null if its route has no upstream. */
    fun previewRequest(
        nowMs: Long,
        resolved: RouteResolution.Resolved,
        affinityKey: String?,
        requestId: String,
        fingerprint: RequestFingerprint,
    ): TrafficRequest? =
        roundRobin.peek(resolved.route)?.let { upstream ->
            // Without a deadline nothing is recorded of the times that the callers of a route state.
            requestOf(nowMs, resolved, upstream, affinityKey, requestId, deadlineMs = null, fingerprint)
        }

    private fun admit(
        nowMs: Long,
        resolved: RouteResolution.Resolved,
        fingerprint: RequestFingerprint,
        steps: AdmissionSteps,
    ): Admission {
        steps.quarantinedForMs(nowMs, fingerprint)?.let {
            return Admission.Refused(RequestAction.Refuse(RefusalCause.QUARANTINED, it))
        }
        val rateLimit = rateLimitOf(nowMs, resolved, steps)
        if (rateLimit is RateLimitDecision.Refused) {
            return Admission.Refused(RequestAction.Refuse(RefusalCause.RATE_LIMIT_EXCEEDED, rateLimit.retryAfterMs))
        }
        val upstream = steps.nextUpstream(resolved.route)
        return if (upstream == null) {
            Admission.Refused(RequestAction.Refuse(RefusalCause.NO_WORKER, NO_WORKER_RETRY_AFTER_MS))
        } else {
            Admission.Admitted(rateLimit, upstream)
        }
    }

    private fun rateLimitOf(
        nowMs: Long,
        resolved: RouteResolution.Resolved,
        steps: AdmissionSteps,
    ): RateLimitDecision =
        resolved.workspace?.let { steps.takeToken(nowMs, it.id, maxTokenWaitMs(resolved.route)) } ?: RateLimitDecision.Granted

    private fun requestOf(
        nowMs: Long,
        resolved: RouteResolution.Resolved,
        upstream: UpstreamId,
        affinityKey: String?,
        requestId: String,
        deadlineMs: Long?,
        fingerprint: RequestFingerprint,
    ): TrafficRequest {
        val route = resolved.route
        val timeoutMs = min(route.timeoutMs ?: Long.MAX_VALUE, deadlineMs ?: DEFAULT_DEADLINE_MS)
        val requestHash = stableHash(requestId)
        val priorityRank = desired?.routePriorities?.indexOf(route.priority)?.coerceAtLeast(0) ?: 0
        return TrafficRequest(
            route = route,
            workspace = resolved.workspace,
            upstream = upstream,
            deadlineAtMs = nowMs + timeoutMs,
            tokenWaitEndsAtMs = nowMs + maxTokenWaitMs(route),
            affinityHash = if (affinityKey == null) requestHash else stableHash("${route.id.value}/$affinityKey"),
            hasAffinityKey = affinityKey != null,
            requestHash = requestHash,
            isCallerRetry = deadlineMs != null && callerRetries.isRetry(route.id, deadlineMs),
            priorityRank = priorityRank,
            fingerprint = fingerprint,
            admission = capacity.requestOf(nowMs, route, resolved.workspace, upstream, priorityRank, deadlineMs),
        )
    }

    private fun maxTokenWaitMs(route: TrafficRoute): Long = (route.targetLatencyMs * TOKEN_WAIT_FRACTION).toLong()

    private fun waitForTokens(
        request: TrafficRequest,
        decision: RateLimitDecision.Pending,
    ): RequestAction.Wait {
        request.isWaiting = true
        return RequestAction.Wait(decision.afterMs)
    }

    /** See [TrafficController.resume]. */
    fun resume(
        nowMs: Long,
        request: TrafficRequest,
    ): RequestAction {
        check(request.isWaiting) { "request of route ${request.route.id} does not wait for tokens: continue each wait once" }
        request.isWaiting = false
        val maxWaitMs = request.tokenWaitEndsAtMs - nowMs
        val decision =
            request.workspace?.let { rateLimiter.takeAfterWait(nowMs, it.id, ++request.tokenWaits, maxWaitMs) }
                ?: RateLimitDecision.Granted
        return when (decision) {
            is RateLimitDecision.Refused -> RequestAction.Refuse(RefusalCause.RATE_LIMIT_EXCEEDED, decision.retryAfterMs)
            is RateLimitDecision.Pending -> waitForTokens(request, decision)
            is RateLimitDecision.Granted -> first(nowMs, request)
        }
    }

    private companion object {
        /** Applies to callers that state no deadline; the platform's callers always do. */
        const val DEFAULT_DEADLINE_MS = 10_000L

        /** Fraction of a route's target latency for which a request may wait for rate tokens: enough is left to meet the target. */
        const val TOKEN_WAIT_FRACTION = 0.25
        const val NO_WORKER_RETRY_AFTER_MS = 1_000L
    }
}

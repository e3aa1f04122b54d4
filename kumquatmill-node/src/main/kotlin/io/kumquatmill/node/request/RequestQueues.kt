package io.kumquatmill.node.request

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.node.RequestSettings
import io.kumquatmill.node.limit.RequestLimiter
import io.kumquatmill.routing.queue.DispatchStatus
import io.kumquatmill.routing.queue.ExpiredRequest
import io.kumquatmill.routing.queue.FairQueue
import io.kumquatmill.routing.queue.FairQueueSettings
import io.kumquatmill.routing.queue.QueueOfferResult
import io.kumquatmill.routing.queue.QueuedRequest
import io.kumquatmill.routing.queue.ServiceTimes

/** Requests that wait for a worker slot or a rate token, in one fair queue per upstream. */
internal class RequestQueues(
    upstreams: Collection<UpstreamId>,
    queueSettings: FairQueueSettings,
    private val settings: RequestSettings,
    private val limiter: RequestLimiter,
    private val serviceTimes: ServiceTimes,
) {
    private val queues = upstreams.associateWith { FairQueue(queueSettings) }

    /** Number of queued requests. */
    val size: Int
        get() = queues.values.sumOf { it.size }

    /** Returns whether requests of [workspace] are queued for [upstream], so that a new one must queue behind them. */
    fun hasWaiting(
        upstream: UpstreamId,
        workspace: WorkspaceId?,
    ): Boolean = queues.getValue(upstream).sizeOf(queueKey(workspace)) > 0

    /**
     * Queues [request]. Returns null on success, else the refusal.
     *
     * [ratePerS] is the rate of its workspace, or null if it has no rate limit.
     */
    fun offer(
        nowMs: Long,
        request: ActiveRequest,
        ratePerS: Double?,
    ): Outcome.NotRun? {
        val isRateExhausted = !limiter.hasRateToken(nowMs, request.workspace)
        if (isRateExhausted && ratePerS != null && isAboveRate(request, ratePerS)) {
            return Outcome.NotRun(RefusalReason.RATE_EXCEEDED, settings.rateWaitMs)
        }
        val offer = queueOf(request).offer(nowMs, toQueued(nowMs, request, isRateExhausted))
        return (offer as? QueueOfferResult.Refused)?.outcome
    }

    fun cancel(request: ActiveRequest): Boolean = queueOf(request).cancel(request.id)

    /** Passes queued requests to [tryDispatch] in fair order. Returns those that can no longer meet their deadline. */
    fun dispatch(
        nowMs: Long,
        tryDispatch: (RequestId) -> DispatchStatus,
    ): List<ExpiredRequest> =
        queues.values
            .filter { it.size > 0 }
            .flatMap { queue -> queue.dispatch(nowMs) { tryDispatch(it.id) } }
            .map { expired -> withPreciseReason(nowMs, expired) }

    private fun isAboveRate(
        request: ActiveRequest,
        ratePerS: Double,
    ): Boolean {
        val maxWaiting = (ratePerS * settings.rateWaitMs / MS_PER_S).toInt().coerceAtLeast(1)
        return queueOf(request).sizeOf(queueKey(request.workspace)) >= maxWaiting
    }

    private fun toQueued(
        nowMs: Long,
        request: ActiveRequest,
        isRateExhausted: Boolean,
    ): QueuedRequest {
        val serviceMs = serviceTimes.expectedMs(request.state.route.id)
        val deadlineAtMs = request.state.deadlineAtMs
        return QueuedRequest(
            id = request.id,
            workspace = queueKey(request.workspace),
            weight = request.weight,
            deadlineAtMs = if (isRateExhausted) minOf(deadlineAtMs, nowMs + settings.rateWaitMs + serviceMs) else deadlineAtMs,
            serviceMs = serviceMs,
        )
    }

    private fun withPreciseReason(
        nowMs: Long,
        expired: ExpiredRequest,
    ): ExpiredRequest {
        val workspace = expired.request.workspace
        val isRateExhausted = workspace != NO_WORKSPACE && !limiter.hasRateToken(nowMs, workspace)
        if (!isRateExhausted) return expired
        return expired.copy(outcome = Outcome.NotRun(RefusalReason.RATE_EXCEEDED, settings.rateWaitMs))
    }

    private fun queueOf(request: ActiveRequest): FairQueue = queues.getValue(request.state.route.upstream)

    private fun queueKey(workspace: WorkspaceId?): WorkspaceId = workspace ?: NO_WORKSPACE

    private companion object {
        /** Queue key of requests without a workspace; no workspace can have this name. */
        val NO_WORKSPACE = WorkspaceId("")
        const val MS_PER_S = 1_000.0
    }
}

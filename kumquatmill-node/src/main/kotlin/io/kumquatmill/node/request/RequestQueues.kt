package io.kumquatmill.node.request

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.node.RequestSettings
import io.kumquatmill.node.limit.LedgerDesk
import io.kumquatmill.routing.queue.DispatchStatus
import io.kumquatmill.routing.queue.ExpiredRequest
import io.kumquatmill.routing.queue.FairQueue
import io.kumquatmill.routing.queue.QueueOfferResult
import io.kumquatmill.routing.queue.QueueSettings
import io.kumquatmill.routing.queue.QueuedRequest
import io.kumquatmill.routing.queue.ServiceTimes

/** Requests that wait for a slot or for their workspace's rate, in a fair queue for each upstream. */
internal class RequestQueues(
    upstreams: Collection<UpstreamId>,
    queueSettings: QueueSettings,
    private val settings: RequestSettings,
    private val ledger: LedgerDesk,
    private val serviceTimes: ServiceTimes,
) {
    private val queues = upstreams.associateWith { FairQueue(queueSettings) }

    /** Number of waiting requests. */
    val size: Int
        get() = queues.values.sumOf { it.size }

    /** Returns whether requests of [workspace] wait for [upstream], so that a new one has to wait behind them. */
    fun hasWaiting(
        upstream: UpstreamId,
        workspace: WorkspaceId?,
    ): Boolean = queues.getValue(upstream).sizeOf(queueName(workspace)) > 0

    /** Queues [request]; returns its refusal if it can't wait. [ratePerS] is that of its workspace, null without a limit. */
    fun offer(
        nowMs: Long,
        request: OpenRequest,
        ratePerS: Double?,
    ): Outcome.NotRun? {
        val isRateShort = !ledger.hasRate(nowMs, request.workspace)
        if (isRateShort && ratePerS != null && isAboveRate(request, ratePerS)) {
            return Outcome.NotRun(RefusalReason.RATE_EXCEEDED, settings.rateWaitMs)
        }
        val offer = queueOf(request).offer(nowMs, toQueued(nowMs, request, isRateShort))
        return (offer as? QueueOfferResult.Refused)?.outcome
    }

    fun cancel(request: OpenRequest): Boolean = queueOf(request).cancel(request.id)

    /** Offers all waiting requests to [tryDispatch]; returns those that were given up. */
    fun dispatch(
        nowMs: Long,
        tryDispatch: (RequestId) -> DispatchStatus,
    ): List<ExpiredRequest> =
        queues.values
            .filter { it.size > 0 }
            .flatMap { queue -> queue.dispatch(nowMs) { tryDispatch(it.id) } }
            .map { refusal -> withPreciseReason(nowMs, refusal) }

    private fun isAboveRate(
        request: OpenRequest,
        ratePerS: Double,
    ): Boolean {
        val reachable = (ratePerS * settings.rateWaitMs / MS_PER_S).toInt().coerceAtLeast(1)
        return queueOf(request).sizeOf(queueName(request.workspace)) >= reachable
    }

    private fun toQueued(
        nowMs: Long,
        request: OpenRequest,
        isRateShort: Boolean,
    ): QueuedRequest {
        val serviceMs = serviceTimes.expectedMs(request.state.route.id)
        val deadlineAtMs = request.state.deadlineAtMs
        return QueuedRequest(
            id = request.id,
            workspace = queueName(request.workspace),
            weight = request.weight,
            deadlineAtMs = if (isRateShort) minOf(deadlineAtMs, nowMs + settings.rateWaitMs + serviceMs) else deadlineAtMs,
            serviceMs = serviceMs,
        )
    }

    private fun withPreciseReason(
        nowMs: Long,
        refusal: ExpiredRequest,
    ): ExpiredRequest {
        val workspace = refusal.request.workspace
        val isRateShort = workspace != OPEN_QUEUE && !ledger.hasRate(nowMs, workspace)
        if (!isRateShort) return refusal
        return refusal.copy(outcome = Outcome.NotRun(RefusalReason.RATE_EXCEEDED, settings.rateWaitMs))
    }

    private fun queueOf(request: OpenRequest): FairQueue = queues.getValue(request.state.route.upstream)

    private fun queueName(workspace: WorkspaceId?): WorkspaceId = workspace ?: OPEN_QUEUE

    private companion object {
        /** Queue of requests without a workspace; the name is not one that a workspace can have. */
        val OPEN_QUEUE = WorkspaceId("")
        const val MS_PER_S = 1_000.0
    }
}

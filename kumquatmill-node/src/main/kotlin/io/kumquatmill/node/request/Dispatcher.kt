package io.kumquatmill.node.request

import io.kumquatmill.limits.ledger.TakeResult
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.node.effect.DecisionKind
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.limit.RequestLimiter
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.routing.region.DispatchResources
import io.kumquatmill.routing.region.RegionChoice
import io.kumquatmill.routing.region.RegionQuery
import io.kumquatmill.routing.region.RegionSelector
import io.kumquatmill.routing.region.ResponseSizes
import io.kumquatmill.routing.retry.RetryBudget

/** Result of trying to send a request to a worker. */
internal sealed interface DispatchResult {
    /** An attempt was started. */
    data class Sent(
        val effects: List<NodeEffect>,
    ) : DispatchResult

    /** The workspace has no rate token available. */
    data object NoRate : DispatchResult

    /** No worker can accept the request now. */
    data object NoWorker : DispatchResult
}

/** Sends requests to workers within the limits; every attempt takes a rate token of its workspace. */
internal class Dispatcher(
    private val table: RequestTable,
    private val limiter: RequestLimiter,
    private val regionSelector: RegionSelector,
    private val pool: WorkerPool,
    private val responseSizes: ResponseSizes,
    private val retryBudget: RetryBudget,
    private val attemptTimeouts: AttemptTimeouts,
) {
    fun tryDispatch(
        nowMs: Long,
        request: ActiveRequest,
    ): DispatchResult {
        val isRedispatch = request.hasTriedDispatch
        request.hasTriedDispatch = true
        if (isRedispatch && !limiter.hasRateToken(nowMs, request.workspace)) return DispatchResult.NoRate
        val rate = limiter.tryTakeRateToken(nowMs, request.workspace)
        if (rate is TakeResult.Denied) return DispatchResult.NoRate
        val expectedResponseBytes = responseSizes.expectedBytes(request.state.route.id)
        return when (val choice = selectWorker(nowMs, request, expectedResponseBytes, isRedispatch)) {
            is RegionChoice.Chosen -> {
                DispatchResult.Sent(send(nowMs, request, choice, expectedResponseBytes))
            }

            is RegionChoice.Refused -> {
                limiter.refundRateToken(nowMs, request.workspace)
                DispatchResult.NoWorker
            }
        }
    }

    private fun selectWorker(
        nowMs: Long,
        request: ActiveRequest,
        expectedResponseBytes: Long,
        isRedispatch: Boolean,
    ): RegionChoice {
        val query =
            RegionQuery(
                upstream = request.state.route.upstream,
                requestBytes = request.bodyBytes,
                responseBytes = expectedResponseBytes,
                excludedWorkers = request.triedWorkers,
                isRepeated = isRedispatch,
            )
        val resources =
            DispatchResources(
                tryAcquireSlot = { limiter.tryTakeSlot(nowMs, it) },
                releaseSlot = { limiter.releaseSlot(nowMs, it) },
                tryReserveLink = { limiter.tryTakeLink(nowMs, it) },
            )
        return regionSelector.select(nowMs, query, resources)
    }

    private fun send(
        nowMs: Long,
        request: ActiveRequest,
        choice: RegionChoice.Chosen,
        expectedResponseBytes: Long,
    ): List<NodeEffect> {
        val isRetry = request.state.attempts > 0
        val worker = choice.worker
        val deadlineAtMs = nowMs + attemptTimeouts.timeoutMs(nowMs, request.state)
        val attempt = ActiveAttempt(table.nextAttemptId(), worker, nowMs, deadlineAtMs, expectedResponseBytes)
        table.startAttempt(request, attempt)
        pool.onAttemptStarted(worker.id)
        if (!isRetry) retryBudget.deposit(nowMs, request.workspace, worker.region)
        return listOf(forward(nowMs, request, attempt), logEntry(request, worker, choice.isShifted, isRetry))
    }

    private fun forward(
        nowMs: Long,
        request: ActiveRequest,
        attempt: ActiveAttempt,
    ) = NodeEffect.Forward(
        attempt = attempt.id,
        request = request.id,
        worker = attempt.worker.id,
        workspace = request.workspace,
        timeoutMs = attempt.deadlineAtMs - nowMs,
        needsFreshConnection = !request.state.route.isIdempotent,
    )

    private fun logEntry(
        request: ActiveRequest,
        worker: Worker,
        isShifted: Boolean,
        isRetry: Boolean,
    ) = NodeEffect.LogDecision(
        Decision(
            kind = if (isRetry) DecisionKind.RETRY else DecisionKind.FORWARD,
            reason = if (isShifted) "other region has room" else "own region has room",
            request = request.id,
            workspace = request.workspace,
            route = request.state.route.id,
            region = worker.region,
            worker = worker.id,
        ),
    )
}

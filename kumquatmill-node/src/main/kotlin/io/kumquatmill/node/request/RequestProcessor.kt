package io.kumquatmill.node.request

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.outcome.wireName
import io.kumquatmill.configuration.current.ConfigurationSnapshot
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.node.RequestSettings
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.node.effect.DecisionKind
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.routing.idempotency.IdempotencyClaim
import io.kumquatmill.routing.idempotency.IdempotencyKey
import io.kumquatmill.routing.idempotency.IdempotencyRegistry
import io.kumquatmill.routing.queue.DispatchStatus
import io.kumquatmill.routing.request.RequestState
import io.kumquatmill.routing.retry.RetryDecision
import io.kumquatmill.routing.retry.RetryPolicy

/** Processes each request from its arrival to its single final response. */
internal class RequestProcessor(
    private val settings: RequestSettings,
    private val table: RequestTable,
    private val admission: Admission,
    private val dispatcher: Dispatcher,
    private val queues: RequestQueues,
    private val retryPolicy: RetryPolicy,
    private val attemptAccounting: AttemptAccounting,
    private val idempotency: IdempotencyRegistry,
) {
    /** Number of admitted requests without a final response, including the queued ones. */
    val activeRequestCount: Int
        get() = table.size

    /** Number of queued requests. */
    val queuedRequestCount: Int
        get() = queues.size

    fun onArrival(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
        snapshot: ConfigurationSnapshot?,
        readiness: HostReadiness,
    ): List<NodeEffect> =
        admission.admit(event, snapshot, readiness).fold(
            { reason -> refuseArrival(event, Outcome.NotRun(reason, settings.retryAfterMs)) },
            { admitted -> claimKeyAndStart(nowMs, event, admitted) },
        )

    fun onCancelled(
        nowMs: Long,
        event: NodeEvent.RequestCancelled,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        val request = table[event.request] ?: return emptyList()
        queues.cancel(request)
        val effects = cancelAttempt(nowMs, request)
        completeClaim(nowMs, request, request.state.refusal(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs))
        table.remove(request)
        return effects + dispatchWaiting(nowMs, snapshot)
    }

    fun onAttemptEnded(
        nowMs: Long,
        event: NodeEvent.AttemptEnded,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        val request = table.byAttempt(event.attempt) ?: return emptyList()
        val attempt = table.endAttempt(request) ?: return emptyList()
        val outcome = attemptAccounting.recordResult(nowMs, request, attempt, event.result)
        val decision = retryPolicy.decide(nowMs, request.state, attempt.worker.region, outcome)
        request.state = request.state.withOutcome(outcome)
        val effects =
            when (decision) {
                is RetryDecision.Retry -> retry(nowMs, request, outcome, snapshot)
                is RetryDecision.Final -> finish(nowMs, request, attempt, decision.outcome)
            }
        return effects + logUnknownResult(request, event.result) + dispatchWaiting(nowMs, snapshot)
    }

    /** Refuses requests whose deadline has passed and dispatches queued requests that can now be sent. */
    fun onTick(
        nowMs: Long,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        attemptAccounting.releaseDueSlots(nowMs)
        return table.expired(nowMs).flatMap { expire(nowMs, it) } + dispatchWaiting(nowMs, snapshot)
    }

    private fun claimKeyAndStart(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
        admitted: AdmittedRequest,
    ): List<NodeEffect> {
        val key = claimKey(event, admitted)
        val refusal = key?.let { claimRefusal(nowMs, it) }
        return if (refusal == null) start(nowMs, event, admitted, key) else refuseArrival(event, refusal)
    }

    private fun claimKey(
        event: NodeEvent.RequestArrived,
        admitted: AdmittedRequest,
    ): IdempotencyKey? {
        val value = event.idempotencyKey ?: return null
        if (admitted.route.isIdempotent) return null
        return IdempotencyKey(admitted.workspace, admitted.route.id, value)
    }

    private fun claimRefusal(
        nowMs: Long,
        key: IdempotencyKey,
    ): Outcome? =
        when (val claim = idempotency.claim(nowMs, key)) {
            is IdempotencyClaim.Granted -> null
            is IdempotencyClaim.Duplicate -> Outcome.Unknown(RefusalReason.DUPLICATE_REQUEST, settings.retryAfterMs)
            is IdempotencyClaim.KeyTooLong -> Outcome.NotRun(RefusalReason.MALFORMED_REQUEST, settings.retryAfterMs)
            is IdempotencyClaim.Full -> Outcome.NotRun(RefusalReason.NO_CAPACITY, claim.retryAfterMs)
        }

    private fun start(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
        admitted: AdmittedRequest,
        key: IdempotencyKey?,
    ): List<NodeEffect> {
        val deadlineMs = minOf(admitted.route.deadlineMs, event.deadlineMs ?: Long.MAX_VALUE)
        val state = RequestState(event.request, admitted.workspace, admitted.route, nowMs, nowMs + deadlineMs)
        val request = ActiveRequest(state, admitted.plan?.weight ?: 1, event.bodyBytes, key)
        table.add(request)
        return dispatchOrQueue(nowMs, request, admitted.plan)
    }

    private fun dispatchOrQueue(
        nowMs: Long,
        request: ActiveRequest,
        plan: Plan?,
    ): List<NodeEffect> {
        if (!queues.hasWaiting(request.state.route.upstream, request.workspace)) {
            val result = dispatcher.tryDispatch(nowMs, request)
            if (result is DispatchResult.Sent) return result.effects
        }
        val refusal = queues.offer(nowMs, request, plan?.ratePerS) ?: return emptyList()
        return refuse(nowMs, request, request.state.refusal(refusal.reason, refusal.retryAfterMs))
    }

    private fun retry(
        nowMs: Long,
        request: ActiveRequest,
        outcome: Outcome,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        val plan = request.workspace?.let { snapshot?.planOf(it) }
        if (request.workspace != null && plan == null) return refuse(nowMs, request, request.state.refusal(RefusalReason.KEY_UNKNOWN, 0))
        val effects = dispatchOrQueue(nowMs, request, plan)
        return listOf(logEntry(DecisionKind.RETRY, request, "attempt ended as ${outcome.wireName}", outcome)) + effects
    }

    private fun finish(
        nowMs: Long,
        request: ActiveRequest,
        attempt: ActiveAttempt,
        outcome: Outcome,
    ): List<NodeEffect> {
        if (outcome !is Outcome.Answered) return refuse(nowMs, request, outcome)
        completeClaim(nowMs, request, outcome)
        table.remove(request)
        val relay = NodeEffect.RelayResponse(request.id, attempt.id)
        return listOf(relay, logEntry(DecisionKind.ANSWER, request, "worker answered", outcome))
    }

    private fun expire(
        nowMs: Long,
        request: ActiveRequest,
    ): List<NodeEffect> {
        queues.cancel(request)
        val hadAttempt = request.attempt != null
        val cancelled = cancelAttempt(nowMs, request)
        val outcome =
            if (hadAttempt) {
                Outcome.Unknown(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs)
            } else {
                request.state.refusal(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs)
            }
        return cancelled + refuse(nowMs, request, outcome)
    }

    /** Cancels the attempt in progress, if any; its outcome at the worker stays unknown. */
    private fun cancelAttempt(
        nowMs: Long,
        request: ActiveRequest,
    ): List<NodeEffect> {
        val attempt = table.endAttempt(request) ?: return emptyList()
        val outcome = attemptAccounting.recordCancelled(nowMs, attempt)
        request.state = request.state.withOutcome(outcome)
        return listOf(NodeEffect.CancelAttempt(attempt.id))
    }

    private fun dispatchWaiting(
        nowMs: Long,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        if (queues.size == 0) return emptyList()
        val effects = ArrayList<NodeEffect>()
        val expired =
            queues.dispatch(nowMs) { id ->
                table[id]?.let { dispatchQueued(nowMs, it, snapshot, effects) } ?: DispatchStatus.DISPATCHED
            }
        expired.forEach { entry ->
            table[entry.request.id]?.let {
                effects += refuse(nowMs, it, it.state.refusal(entry.outcome.reason, entry.outcome.retryAfterMs))
            }
        }
        return effects
    }

    private fun dispatchQueued(
        nowMs: Long,
        request: ActiveRequest,
        snapshot: ConfigurationSnapshot?,
        effects: MutableList<NodeEffect>,
    ): DispatchStatus {
        if (isWorkspaceRemoved(request, snapshot)) {
            effects += refuse(nowMs, request, request.state.refusal(RefusalReason.KEY_UNKNOWN, settings.retryAfterMs))
            return DispatchStatus.DISPATCHED
        }
        return when (val result = dispatcher.tryDispatch(nowMs, request)) {
            is DispatchResult.Sent -> DispatchStatus.DISPATCHED.also { effects += result.effects }
            is DispatchResult.NoRate -> DispatchStatus.SKIP_WORKSPACE
            is DispatchResult.NoWorker ->
                if (request.triedWorkers.isEmpty()) DispatchStatus.NO_SLOTS else DispatchStatus.SKIP_WORKSPACE
        }
    }

    private fun isWorkspaceRemoved(
        request: ActiveRequest,
        snapshot: ConfigurationSnapshot?,
    ): Boolean {
        val workspace = request.workspace ?: return false
        return snapshot != null && snapshot.planOf(workspace) == null
    }

    private fun refuse(
        nowMs: Long,
        request: ActiveRequest,
        outcome: Outcome,
    ): List<NodeEffect> {
        completeClaim(nowMs, request, outcome)
        table.remove(request)
        return listOf(NodeEffect.Refuse(request.id, outcome), logEntry(DecisionKind.REFUSE, request, outcome.reasonName(), outcome))
    }

    private fun completeClaim(
        nowMs: Long,
        request: ActiveRequest,
        outcome: Outcome,
    ) {
        request.idempotencyKey?.let { idempotency.complete(nowMs, it, outcome) }
    }

    private fun refuseArrival(
        event: NodeEvent.RequestArrived,
        outcome: Outcome,
    ): List<NodeEffect> {
        val decision = Decision(DecisionKind.REFUSE, outcome.reasonName(), request = event.request, outcome = outcome.wireName)
        return listOf(NodeEffect.Refuse(event.request, outcome), NodeEffect.LogDecision(decision))
    }

    private fun logUnknownResult(
        request: ActiveRequest,
        result: AttemptResult,
    ): List<NodeEffect> =
        if (result is AttemptResult.Unknown) listOf(logEntry(DecisionKind.FORWARD, request, result.detail, outcome = null)) else emptyList()

    private fun logEntry(
        kind: DecisionKind,
        request: ActiveRequest,
        reason: String,
        outcome: Outcome?,
    ) = NodeEffect.LogDecision(
        Decision(
            kind = kind,
            reason = reason,
            request = request.id,
            workspace = request.workspace,
            route = request.state.route.id,
            worker = request.state.triedWorkers.lastOrNull(),
            outcome = outcome?.wireName,
        ),
    )
}

private fun Outcome.reasonName(): String =
    when (this) {
        is Outcome.Answered -> wireName
        is Outcome.NotRun -> reason.wireName
        is Outcome.Unknown -> reason.wireName
    }

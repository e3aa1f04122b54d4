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
import io.kumquatmill.routing.idempotency.IdempotencyRegister
import io.kumquatmill.routing.queue.DispatchStep
import io.kumquatmill.routing.request.RequestState
import io.kumquatmill.routing.retry.RetryDecision
import io.kumquatmill.routing.retry.RetryPolicy

/** Leads each request from its arrival to its one final answer. */
internal class RequestDesk(
    private val settings: RequestSettings,
    private val table: RequestTable,
    private val admission: Admission,
    private val dispatcher: Dispatcher,
    private val queues: RequestQueues,
    private val retryPolicy: RetryPolicy,
    private val attempts: AttemptBooks,
    private val idempotency: IdempotencyRegister,
) {
    /** Number of requests that were admitted and not answered yet. */
    val openRequests: Int
        get() = table.size

    /** Number of requests that wait. */
    val queuedRequests: Int
        get() = queues.size

    fun arrive(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
        snapshot: ConfigurationSnapshot?,
        fitness: HostFitness,
    ): List<NodeEffect> =
        admission.admit(event, snapshot, fitness).fold(
            { reason -> refusal(event, Outcome.NotRun(reason, settings.retryAfterMs)) },
            { admitted -> claimAndOpen(nowMs, event, admitted) },
        )

    fun cancel(
        nowMs: Long,
        event: NodeEvent.RequestCancelled,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        val request = table[event.request] ?: return emptyList()
        queues.cancel(request)
        val effects = abandonAttempt(nowMs, request)
        endClaim(nowMs, request, request.state.refused(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs))
        table.remove(request)
        return effects + dispatchWaiting(nowMs, snapshot)
    }

    fun endAttempt(
        nowMs: Long,
        event: NodeEvent.AttemptEnded,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        val request = table.byAttempt(event.attempt) ?: return emptyList()
        val attempt = table.endAttempt(request) ?: return emptyList()
        val outcome = attempts.book(nowMs, request, attempt, event.result)
        val decision = retryPolicy.decide(nowMs, request.state, attempt.worker.region, outcome)
        request.state = request.state.withOutcome(outcome)
        val effects =
            when (decision) {
                is RetryDecision.Retry -> retry(nowMs, request, outcome, snapshot)
                is RetryDecision.Final -> finish(nowMs, request, attempt, decision.outcome)
            }
        return effects + detail(request, event.result) + dispatchWaiting(nowMs, snapshot)
    }

    /** Gives up requests whose deadline has passed and sends those that waited for slots or rate. */
    fun tick(
        nowMs: Long,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        attempts.releaseSlots(nowMs)
        return table.overdue(nowMs).flatMap { giveUpOverdue(nowMs, it) } + dispatchWaiting(nowMs, snapshot)
    }

    private fun claimAndOpen(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
        admitted: Admitted,
    ): List<NodeEffect> {
        val key = claimKey(event, admitted)
        val refused = key?.let { claimRefusal(nowMs, it) }
        return if (refused == null) open(nowMs, event, admitted, key) else refusal(event, refused)
    }

    private fun claimKey(
        event: NodeEvent.RequestArrived,
        admitted: Admitted,
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

    private fun open(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
        admitted: Admitted,
        key: IdempotencyKey?,
    ): List<NodeEffect> {
        val deadlineMs = minOf(admitted.route.deadlineMs, event.deadlineMs ?: Long.MAX_VALUE)
        val state = RequestState(event.request, admitted.workspace, admitted.route, nowMs, nowMs + deadlineMs)
        val request = OpenRequest(state, admitted.plan?.weight ?: 1, event.bodyBytes, key)
        table.add(request)
        return sendOrQueue(nowMs, request, admitted.plan)
    }

    private fun sendOrQueue(
        nowMs: Long,
        request: OpenRequest,
        plan: Plan?,
    ): List<NodeEffect> {
        if (!queues.hasWaiting(request.state.route.upstream, request.workspace)) {
            val result = dispatcher.tryDispatch(nowMs, request)
            if (result is DispatchResult.Sent) return result.effects
        }
        val refused = queues.offer(nowMs, request, plan?.ratePerS) ?: return emptyList()
        return answer(nowMs, request, request.state.refused(refused.reason, refused.retryAfterMs))
    }

    private fun retry(
        nowMs: Long,
        request: OpenRequest,
        outcome: Outcome,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        val plan = request.workspace?.let { snapshot?.planOf(it) }
        if (request.workspace != null && plan == null) return answer(nowMs, request, request.state.refused(RefusalReason.KEY_UNKNOWN, 0))
        val effects = sendOrQueue(nowMs, request, plan)
        return listOf(log(DecisionKind.RETRY, request, "attempt ended as ${outcome.wireName}", outcome)) + effects
    }

    private fun finish(
        nowMs: Long,
        request: OpenRequest,
        attempt: ActiveAttempt,
        outcome: Outcome,
    ): List<NodeEffect> {
        if (outcome !is Outcome.Answered) return answer(nowMs, request, outcome)
        endClaim(nowMs, request, outcome)
        table.remove(request)
        val relay = NodeEffect.RelayAnswer(request.id, attempt.id)
        return listOf(relay, log(DecisionKind.ANSWER, request, "worker answered", outcome))
    }

    private fun giveUpOverdue(
        nowMs: Long,
        request: OpenRequest,
    ): List<NodeEffect> {
        queues.cancel(request)
        val wasSent = request.attempt != null
        val cancelled = abandonAttempt(nowMs, request)
        val outcome =
            if (wasSent) {
                Outcome.Unknown(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs)
            } else {
                request.state.refused(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs)
            }
        return cancelled + answer(nowMs, request, outcome)
    }

    /** Cancels the attempt that is under way; what became of it at the worker stays unknown. */
    private fun abandonAttempt(
        nowMs: Long,
        request: OpenRequest,
    ): List<NodeEffect> {
        val attempt = table.endAttempt(request) ?: return emptyList()
        val outcome = attempts.abandon(nowMs, attempt)
        request.state = request.state.withOutcome(outcome)
        return listOf(NodeEffect.CancelAttempt(attempt.id))
    }

    private fun dispatchWaiting(
        nowMs: Long,
        snapshot: ConfigurationSnapshot?,
    ): List<NodeEffect> {
        if (queues.size == 0) return emptyList()
        val effects = ArrayList<NodeEffect>()
        val refusals =
            queues.dispatch(nowMs) { id ->
                table[id]?.let { dispatchStep(nowMs, it, snapshot, effects) } ?: DispatchStep.DISPATCHED
            }
        refusals.forEach { refusal ->
            table[refusal.request.id]?.let {
                effects += answer(nowMs, it, it.state.refused(refusal.outcome.reason, refusal.outcome.retryAfterMs))
            }
        }
        return effects
    }

    private fun dispatchStep(
        nowMs: Long,
        request: OpenRequest,
        snapshot: ConfigurationSnapshot?,
        effects: MutableList<NodeEffect>,
    ): DispatchStep {
        if (isWithdrawn(request, snapshot)) {
            effects += answer(nowMs, request, request.state.refused(RefusalReason.KEY_UNKNOWN, settings.retryAfterMs))
            return DispatchStep.DISPATCHED
        }
        return when (val result = dispatcher.tryDispatch(nowMs, request)) {
            is DispatchResult.Sent -> DispatchStep.DISPATCHED.also { effects += result.effects }
            is DispatchResult.NoRate -> DispatchStep.PASS_OVER_WORKSPACE
            is DispatchResult.NoWorker -> if (request.triedWorkers.isEmpty()) DispatchStep.NO_SLOTS else DispatchStep.PASS_OVER_WORKSPACE
        }
    }

    private fun isWithdrawn(
        request: OpenRequest,
        snapshot: ConfigurationSnapshot?,
    ): Boolean {
        val workspace = request.workspace ?: return false
        return snapshot != null && snapshot.planOf(workspace) == null
    }

    private fun answer(
        nowMs: Long,
        request: OpenRequest,
        outcome: Outcome,
    ): List<NodeEffect> {
        endClaim(nowMs, request, outcome)
        table.remove(request)
        return listOf(NodeEffect.Refuse(request.id, outcome), log(DecisionKind.REFUSE, request, outcome.reasonName(), outcome))
    }

    private fun endClaim(
        nowMs: Long,
        request: OpenRequest,
        outcome: Outcome,
    ) {
        request.idempotencyKey?.let { idempotency.end(nowMs, it, outcome) }
    }

    private fun refusal(
        event: NodeEvent.RequestArrived,
        outcome: Outcome,
    ): List<NodeEffect> {
        val decision = Decision(DecisionKind.REFUSE, outcome.reasonName(), request = event.request, outcome = outcome.wireName)
        return listOf(NodeEffect.Refuse(event.request, outcome), NodeEffect.LogDecision(decision))
    }

    private fun detail(
        request: OpenRequest,
        result: AttemptResult,
    ): List<NodeEffect> =
        if (result is AttemptResult.Unknown) listOf(log(DecisionKind.FORWARD, request, result.detail, outcome = null)) else emptyList()

    private fun log(
        kind: DecisionKind,
        request: OpenRequest,
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

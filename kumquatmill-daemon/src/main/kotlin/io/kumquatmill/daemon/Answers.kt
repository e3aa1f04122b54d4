package io.kumquatmill.daemon

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.daemon.caller.PendingRequests
import io.kumquatmill.daemon.caller.refusalResponse
import io.kumquatmill.daemon.metrics.DaemonMetrics
import io.kumquatmill.node.effect.NodeEffect
import org.http4k.core.Response

/** Gives callers the answers that the node decided on. */
internal class Answers(
    private val pending: PendingRequests,
    private val clock: MonotonicClock,
    private val metrics: DaemonMetrics,
) {
    fun relay(effect: NodeEffect.RelayResponse) {
        val answer = pending[effect.request]?.take(effect.attempt)
        val response = answer?.header(HeaderNames.REQUEST_ID, effect.request.value) ?: lostAnswer(effect.request)
        send(effect.request, response)
    }

    fun refuse(effect: NodeEffect.Refuse) {
        val response =
            when (val outcome = effect.outcome) {
                is Outcome.NotRun -> refusalResponse(outcome, effect.request)
                is Outcome.Unknown -> refusalResponse(outcome, effect.request)
                is Outcome.Answered -> lostAnswer(effect.request)
            }
        send(effect.request, response)
    }

    private fun send(
        request: RequestId,
        response: Response,
    ) {
        val waiting = pending.remove(request) ?: return
        metrics.answered(response.status.code, clock.nowMs() - waiting.arrivedAtMs)
        waiting.answer(response)
    }

    private fun lostAnswer(request: RequestId): Response =
        refusalResponse(Outcome.Unknown(RefusalReason.INTERNAL_FAULT, RETRY_AFTER_MS), request)

    companion object {
        private const val RETRY_AFTER_MS = 1_000L

        /** Outcome of a request that the node failed on before it decided anything. */
        val internalFault = Outcome.NotRun(RefusalReason.INTERNAL_FAULT, RETRY_AFTER_MS)
    }
}

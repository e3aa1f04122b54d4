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

/** Sends the responses that the node decided on to the waiting callers. */
internal class CallerResponder(
    private val pendingRequests: PendingRequests,
    private val clock: MonotonicClock,
    private val metrics: DaemonMetrics,
) {
    /** Sends the stored response of the attempt, or an `unknown` refusal if there is none. */
    fun relay(effect: NodeEffect.RelayResponse) {
        val stored = pendingRequests[effect.request]?.takeResponse(effect.attempt)
        val response = stored?.header(HeaderNames.REQUEST_ID, effect.request.value) ?: missingResponse(effect.request)
        send(effect.request, response)
    }

    /** Sends a refusal with the outcome of [effect]. */
    fun refuse(effect: NodeEffect.Refuse) {
        val response =
            when (val outcome = effect.outcome) {
                is Outcome.NotRun -> refusalResponse(outcome, effect.request)
                is Outcome.Unknown -> refusalResponse(outcome, effect.request)
                is Outcome.Answered -> missingResponse(effect.request)
            }
        send(effect.request, response)
    }

    private fun send(
        request: RequestId,
        response: Response,
    ) {
        val pendingRequest = pendingRequests.remove(request) ?: return
        metrics.recordResponse(response.status.code, clock.nowMs() - pendingRequest.arrivedAtMs)
        pendingRequest.respond(response)
    }

    private fun missingResponse(request: RequestId): Response =
        refusalResponse(Outcome.Unknown(RefusalReason.INTERNAL_FAULT, RETRY_AFTER_MS), request)

    companion object {
        private const val RETRY_AFTER_MS = 1_000L

        /** Outcome of a request whose event made the node throw before it produced any effect. */
        val internalFaultOutcome = Outcome.NotRun(RefusalReason.INTERNAL_FAULT, RETRY_AFTER_MS)
    }
}

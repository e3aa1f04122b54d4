package io.kumquatmill.routing.retry

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.routing.request.RequestState

/**
 * Decides after an attempt whether to retry the request or to respond to the caller.
 *
 * On a route that is not idempotent, a request is retried only if it provably has not run.
 */
class RetryPolicy(
    private val budget: RetryBudget,
    private val settings: RetrySettings = RetrySettings(),
) {
    /**
     * Returns what to do with [request] after its latest attempt, in [region], ended with [outcome].
     *
     * [request] is the state before the outcome is applied. On a retry, continue with `request.withOutcome(outcome)`.
     */
    fun decide(
        nowMs: Long,
        request: RequestState,
        region: RegionId,
        outcome: Outcome,
    ): RetryDecision {
        if (outcome is Outcome.Answered) return RetryDecision.Final(outcome)
        if (!isRetryAllowed(nowMs, request, outcome)) return finalDecision(request, outcome)
        if (!budget.tryWithdraw(nowMs, request.workspace, region)) return finalDecision(request, outcome)
        return RetryDecision.Retry(request.triedWorkers.toSet())
    }

    private fun isRetryAllowed(
        nowMs: Long,
        request: RequestState,
        outcome: Outcome,
    ): Boolean {
        val isSafeToRetry = request.route.isIdempotent || (outcome is Outcome.NotRun && !request.mayHaveRun)
        val hasTime = request.remainingMs(nowMs) >= settings.minRemainingMs
        return isSafeToRetry && hasTime && request.attempts < settings.maxAttempts
    }

    private fun finalDecision(
        request: RequestState,
        outcome: Outcome,
    ): RetryDecision {
        val finalState = request.withOutcome(outcome)
        return when (outcome) {
            is Outcome.Answered -> RetryDecision.Final(outcome)
            is Outcome.NotRun -> RetryDecision.Final(finalState.refusal(outcome.reason, retryAfterOrDefaultMs(outcome.retryAfterMs)))
            is Outcome.Unknown -> RetryDecision.Final(finalState.refusal(outcome.reason, retryAfterOrDefaultMs(outcome.retryAfterMs)))
        }
    }

    private fun retryAfterOrDefaultMs(requestedMs: Long): Long = if (requestedMs > 0) requestedMs else settings.retryAfterMs
}

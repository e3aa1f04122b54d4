package io.kumquatmill.routing.retry

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.routing.request.RequestState

/**
 * Decides after an attempt whether the request is tried again or gets its final answer.
 *
 * On a route that is not idempotent only a request that provably did not run is tried again.
 */
class RetryPolicy(
    private val budget: RetryBudget,
    private val settings: RetrySettings = RetrySettings(),
) {
    /**
     * Decides on [request], whose latest attempt in [region] ended with [outcome].
     *
     * [request] is the state before the outcome; a retry goes on with `request.withOutcome(outcome)`.
     */
    fun decide(
        nowMs: Long,
        request: RequestState,
        region: RegionId,
        outcome: Outcome,
    ): RetryDecision {
        if (outcome is Outcome.Answered) return RetryDecision.Final(outcome)
        if (!mayTryAgain(nowMs, request, outcome)) return giveUp(request, outcome)
        if (!budget.tryWithdraw(nowMs, request.workspace, region)) return giveUp(request, outcome)
        return RetryDecision.Retry(request.triedWorkers.toSet())
    }

    private fun mayTryAgain(
        nowMs: Long,
        request: RequestState,
        outcome: Outcome,
    ): Boolean {
        val isSafe = request.route.isIdempotent || (outcome is Outcome.NotRun && !request.mayHaveRun)
        val hasTime = request.remainingMs(nowMs) >= settings.minRemainingMs
        return isSafe && hasTime && request.attempts < settings.maxAttempts
    }

    private fun giveUp(
        request: RequestState,
        outcome: Outcome,
    ): RetryDecision {
        val ended = request.withOutcome(outcome)
        return when (outcome) {
            is Outcome.Answered -> RetryDecision.Final(outcome)
            is Outcome.NotRun -> RetryDecision.Final(ended.refused(outcome.reason, comeBackMs(outcome.retryAfterMs)))
            is Outcome.Unknown -> RetryDecision.Final(ended.refused(outcome.reason, comeBackMs(outcome.retryAfterMs)))
        }
    }

    private fun comeBackMs(statedMs: Long): Long = if (statedMs > 0) statedMs else settings.retryAfterMs
}

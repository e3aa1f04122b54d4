package io.kumquatmill.traffic.ratelimit

import io.kumquatmill.common.id.WorkspaceId

/**
 * Takes a token for a request of [workspace], waiting as often as the rate limiter asks for it.
 *
 * @param after runs an action after a delay in milliseconds
 * @param onDecided called once with the final decision
 */
internal fun WorkspaceRateLimiter.request(
    workspace: WorkspaceId,
    nowMs: () -> Long,
    after: (delayMs: Long, action: () -> Unit) -> Unit,
    onDecided: (RateLimitDecision) -> Unit,
) {
    fun onDecision(
        decision: RateLimitDecision,
        waits: Int,
    ) {
        if (decision !is RateLimitDecision.Pending) return onDecided(decision)
        after(decision.afterMs) { onDecision(takeAfterWait(nowMs(), workspace, waits + 1), waits + 1) }
    }
    onDecision(take(nowMs(), workspace), waits = 0)
}

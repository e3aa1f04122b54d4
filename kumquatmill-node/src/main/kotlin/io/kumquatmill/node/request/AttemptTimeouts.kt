package io.kumquatmill.node.request

import io.kumquatmill.routing.queue.ServiceTimes
import io.kumquatmill.routing.request.RequestState
import io.kumquatmill.routing.retry.RetrySettings

/**
 * Chooses the timeout of an attempt.
 *
 * An attempt that may be retried times out early enough to leave time for another one, so that an unresponsive worker or
 * connection does not use up the whole deadline. Any other attempt may use all of the remaining time.
 */
internal class AttemptTimeouts(
    private val serviceTimes: ServiceTimes,
    private val settings: RetrySettings,
) {
    fun timeoutMs(
        nowMs: Long,
        request: RequestState,
    ): Long {
        val remainingMs = request.remainingMs(nowMs)
        val attemptsLeft = settings.maxAttempts - request.attempts
        if (!request.route.isIdempotent || attemptsLeft <= 1) return remainingMs
        val minTimeoutMs = serviceTimes.expectedMs(request.route.id) * EXPECTED_TIME_FACTOR
        return maxOf(remainingMs / attemptsLeft, minTimeoutMs).coerceAtMost(remainingMs)
    }

    private companion object {
        const val EXPECTED_TIME_FACTOR = 8
    }
}

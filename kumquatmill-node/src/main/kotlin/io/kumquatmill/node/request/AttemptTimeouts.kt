package io.kumquatmill.node.request

import io.kumquatmill.routing.queue.ServiceTimes
import io.kumquatmill.routing.request.RequestState
import io.kumquatmill.routing.retry.RetrySettings

/**
 * Chooses how long an attempt may take.
 *
 * An attempt that may be repeated ends early enough to leave time for another, so that a worker or connection that went
 * silent does not use up the whole deadline. All others may use all the time that is left.
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
        val usualMs = serviceTimes.expectedMs(request.route.id) * USUAL_TIME_FACTOR
        return maxOf(remainingMs / attemptsLeft, usualMs).coerceAtMost(remainingMs)
    }

    private companion object {
        const val USUAL_TIME_FACTOR = 8
    }
}

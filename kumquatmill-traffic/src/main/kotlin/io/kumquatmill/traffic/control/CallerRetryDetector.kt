package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.RouteId

/**
 * Detects requests that are retries of a caller.
 *
 * During overload, refused callers retry and would be refused again and again. A caller's remaining time shrinks with each retry, so
 * a request with a clearly shorter deadline than others of its route is considered a retry and preferred to new requests.
 */
internal class CallerRetryDetector {
    private val longestDeadlineMs = HashMap<RouteId, Long>()

    /** Returns whether a request of [route] with a deadline in [deadlineMs] milliseconds is probably a retry. */
    fun isRetry(
        route: RouteId,
        deadlineMs: Long,
    ): Boolean {
        val longest = longestDeadlineMs.merge(route, deadlineMs, ::maxOf) ?: deadlineMs
        return deadlineMs < longest * MIN_NEW_FRACTION
    }

    private companion object {
        /** New requests of a route have nearly the same deadline. */
        const val MIN_NEW_FRACTION = 0.95
    }
}

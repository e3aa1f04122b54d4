package io.kumquatmill.traffic.admission

import io.kumquatmill.common.id.RouteId
import kotlin.math.max

/**
 * Estimates how long ago a caller first sent its request.
 *
 * A caller states the time that it still waits, and new requests of a route state nearly the same time. So the longest time stated
 * recently is that of new requests, and the difference to it is the time that has passed since the first attempt.
 */
class ElapsedTimes {
    private class Longest(
        var windowStartMs: Long,
        var currentMs: Long,
        var previousMs: Long,
    )

    private val longestByRoute = HashMap<RouteId, Longest>()

    /** Returns the time in milliseconds since the first attempt of a request of [route] whose deadline is in [deadlineMs] milliseconds. */
    fun elapsedMs(
        nowMs: Long,
        route: RouteId,
        deadlineMs: Long,
    ): Long {
        val longest = longestByRoute.getOrPut(route) { Longest(nowMs, deadlineMs, deadlineMs) }
        if (nowMs - longest.windowStartMs >= WINDOW_MS) {
            longest.previousMs = longest.currentMs
            longest.currentMs = 0
            longest.windowStartMs = nowMs
        }
        longest.currentMs = max(longest.currentMs, deadlineMs)
        val elapsedMs = max(longest.currentMs, longest.previousMs) - deadlineMs
        return if (elapsedMs < MIN_RETRY_MS) 0 else elapsedMs
    }

    /** Forgets the routes that are not in [routes]. */
    fun retain(routes: Set<RouteId>) {
        longestByRoute.keys.retainAll(routes)
    }

    private companion object {
        /** A caller that states an unusually long time makes others look like retries for at most two windows. */
        const val WINDOW_MS = 10_000L

        /** No caller is told to retry earlier; smaller differences are delays in the network. */
        const val MIN_RETRY_MS = 250L
    }
}

package io.kumquatmill.traffic.desk

import io.kumquatmill.common.id.RouteId

/**
 * Tells callers that come back from new ones.
 *
 * Pattern answered: refused callers return into the same overload and are refused again. A caller has less time left when it
 * returns, so a request that states clearly less time than others of its route is taken for a return, and goes before new ones.
 */
internal class ReturnWatch {
    private val longestMs = HashMap<RouteId, Long>()

    /** Returns whether a request of [route] that will wait [deadlineMs] has likely been here before. */
    fun isReturning(
        route: RouteId,
        deadlineMs: Long,
    ): Boolean {
        val longest = longestMs.merge(route, deadlineMs, ::maxOf) ?: deadlineMs
        return deadlineMs < longest * NEW_PART
    }

    private companion object {
        /** Callers of one route that are new state nearly the same time. */
        const val NEW_PART = 0.95
    }
}

package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.traffic.model.TrafficRoute

/** Learns how long requests of each route run at a worker that holds their object and at one that does not. */
class RunTimes {
    private class Times(
        var warmMs: Double,
        var coldMs: Double,
        var observations: Int = 0,
    )

    private val times = HashMap<RouteId, Times>()

    /** Expected time of [route] in ms. */
    fun expectedMs(
        route: TrafficRoute,
        isWarm: Boolean,
    ): Double = timesOf(route).let { if (isWarm && route.isAffine) it.warmMs else it.coldMs }

    /** Returns whether enough requests of [route] were seen for [expectedMs] to be more than a guess. */
    fun isKnown(route: TrafficRoute): Boolean = timesOf(route).observations >= ENOUGH_OBSERVATIONS

    /** Takes the time [tookMs] of a request that did not wait at its worker. */
    fun observe(
        route: TrafficRoute,
        isWarm: Boolean,
        tookMs: Double,
    ) {
        val known = timesOf(route)
        known.observations++
        if (isWarm) known.warmMs += LEARNING * (tookMs - known.warmMs) else known.coldMs += LEARNING * (tookMs - known.coldMs)
    }

    private fun timesOf(route: TrafficRoute): Times =
        times.getOrPut(route.id) { Times(route.targetLatencyMs * FIRST_WARM_PART, route.targetLatencyMs * FIRST_COLD_PART) }

    private companion object {
        const val LEARNING = 0.05
        const val ENOUGH_OBSERVATIONS = 10

        /** Guesses until the first answers: a target can be met warm, and hardly cold. */
        const val FIRST_WARM_PART = 0.4
        const val FIRST_COLD_PART = 1.2
    }
}

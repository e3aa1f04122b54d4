package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.traffic.model.TrafficRoute

/** Estimates the service time of each route at workers that are warm for the request's object and at those that are not. */
class ServiceTimes {
    private class MeanTimes(
        var warmMs: Double,
        var coldMs: Double,
        var observations: Int = 0,
    )

    private val meansByRoute = HashMap<RouteId, MeanTimes>()

    /** Returns the expected service time of [route] in milliseconds. */
    fun expectedMs(
        route: TrafficRoute,
        isWarm: Boolean,
    ): Double = meanOf(route).let { if (isWarm && route.hasAffinity) it.warmMs else it.coldMs }

    /** Returns whether enough requests of [route] were observed for [expectedMs] to be reliable. */
    fun isKnown(route: TrafficRoute): Boolean = meanOf(route).observations >= MIN_OBSERVATIONS

    /** Records the service time of a request that did not wait in its worker's queue. */
    fun observe(
        route: TrafficRoute,
        isWarm: Boolean,
        serviceMs: Double,
    ) {
        val mean = meanOf(route)
        mean.observations++
        if (isWarm) mean.warmMs += SMOOTHING * (serviceMs - mean.warmMs) else mean.coldMs += SMOOTHING * (serviceMs - mean.coldMs)
    }

    private fun meanOf(route: TrafficRoute): MeanTimes =
        meansByRoute.getOrPut(route.id) {
            MeanTimes(route.targetLatencyMs * INITIAL_WARM_FRACTION, route.targetLatencyMs * INITIAL_COLD_FRACTION)
        }

    private companion object {
        const val SMOOTHING = 0.05
        const val MIN_OBSERVATIONS = 10

        /** Initial estimates as fractions of the target latency, which warm workers can meet and cold ones hardly can. */
        const val INITIAL_WARM_FRACTION = 0.4
        const val INITIAL_COLD_FRACTION = 1.2
    }
}

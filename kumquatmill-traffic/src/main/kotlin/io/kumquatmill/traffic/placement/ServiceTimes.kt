package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.traffic.model.TrafficRoute

/** Estimates the service time of each route at workers that have the request's object in their cache and at those that do not. */
class ServiceTimes {
    private class MeanTimes(
        var cachedMs: Double,
        var uncachedMs: Double,
        var observations: Int = 0,
    )

    private val meansByRoute = HashMap<RouteId, MeanTimes>()

    /** Returns the expected service time of [route] in milliseconds. */
    fun expectedMs(
        route: TrafficRoute,
        isCached: Boolean,
    ): Double = meanOf(route).let { if (isCached && route.hasAffinity) it.cachedMs else it.uncachedMs }

    /** Returns whether enough requests of [route] were observed for [expectedMs] to be reliable. */
    fun isKnown(route: TrafficRoute): Boolean = meanOf(route).observations >= MIN_OBSERVATIONS

    /** Records the service time of a request that did not wait in its worker's queue. */
    fun observe(
        route: TrafficRoute,
        isCached: Boolean,
        serviceMs: Double,
    ) {
        val mean = meansByRoute.getOrPut(route.id) { initialMeans(route) }
        mean.observations++
        if (isCached) {
            mean.cachedMs += SMOOTHING * (serviceMs - mean.cachedMs)
        } else {
            mean.uncachedMs += SMOOTHING * (serviceMs - mean.uncachedMs)
        }
    }

    private fun meanOf(route: TrafficRoute): MeanTimes = meansByRoute[route.id] ?: initialMeans(route)

    private fun initialMeans(route: TrafficRoute) =
        MeanTimes(route.targetLatencyMs * INITIAL_CACHED_FRACTION, route.targetLatencyMs * INITIAL_UNCACHED_FRACTION)

    private companion object {
        const val SMOOTHING = 0.05
        const val MIN_OBSERVATIONS = 10

        /** Initial estimates as fractions of the target latency, which a worker can meet with a cached object and hardly without. */
        const val INITIAL_CACHED_FRACTION = 0.4
        const val INITIAL_UNCACHED_FRACTION = 1.2
    }
}

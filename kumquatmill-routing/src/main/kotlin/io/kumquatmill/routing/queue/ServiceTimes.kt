package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RouteId
import kotlin.math.roundToLong

/** Exponential moving average of the service time of each route. */
class ServiceTimes(
    private val initialMs: Long = DEFAULT_INITIAL_MS,
) {
    private val averagesMs = HashMap<RouteId, Double>()

    /** Records that a complete response to a request on [route] took [serviceMs]. */
    fun record(
        route: RouteId,
        serviceMs: Long,
    ) {
        val averageMs = averagesMs[route] ?: serviceMs.toDouble()
        averagesMs[route] = averageMs + SMOOTHING_FACTOR * (serviceMs - averageMs)
    }

    /** Returns the expected service time of [route]; before the first response, the initial estimate. */
    fun expectedMs(route: RouteId): Long = averagesMs[route]?.roundToLong() ?: initialMs

    companion object {
        const val DEFAULT_INITIAL_MS: Long = 10
        private const val SMOOTHING_FACTOR = 0.05
    }
}

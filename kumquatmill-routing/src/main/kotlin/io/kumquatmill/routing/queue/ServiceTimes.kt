package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RouteId
import kotlin.math.roundToLong

/** Measured service time of each route, as a moving average. */
class ServiceTimes(
    private val initialMs: Long = DEFAULT_INITIAL_MS,
) {
    private val averagesMs = HashMap<RouteId, Double>()

    /** Takes a complete answer after [serviceMs] into account. */
    fun record(
        route: RouteId,
        serviceMs: Long,
    ) {
        val averageMs = averagesMs[route] ?: serviceMs.toDouble()
        averagesMs[route] = averageMs + GAIN * (serviceMs - averageMs)
    }

    /** Returns the expected service time of [route]. */
    fun expectedMs(route: RouteId): Long = averagesMs[route]?.roundToLong() ?: initialMs

    companion object {
        const val DEFAULT_INITIAL_MS: Long = 10
        private const val GAIN = 0.05
    }
}

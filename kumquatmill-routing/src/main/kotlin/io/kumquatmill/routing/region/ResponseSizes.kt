package io.kumquatmill.routing.region

import io.kumquatmill.common.id.RouteId
import kotlin.math.ceil

/** Expected response size of each route, kept close to the largest recent one so that links are not overbooked. */
class ResponseSizes(
    private val initialBytes: Long = DEFAULT_INITIAL_BYTES,
) {
    private val averagesBytes = HashMap<RouteId, Double>()

    /** Records a complete response of [responseBytes]. */
    fun record(
        route: RouteId,
        responseBytes: Long,
    ) {
        val averageBytes = averagesBytes[route] ?: responseBytes.toDouble()
        val smoothingFactor = if (responseBytes > averageBytes) GROWTH_SMOOTHING_FACTOR else SHRINK_SMOOTHING_FACTOR
        averagesBytes[route] = averageBytes + smoothingFactor * (responseBytes - averageBytes)
    }

    /** Returns the number of bytes to reserve for a response of [route]. */
    fun expectedBytes(route: RouteId): Long = averagesBytes[route]?.let { ceil(it).toLong() } ?: initialBytes

    companion object {
        const val DEFAULT_INITIAL_BYTES: Long = 16_384
        private const val GROWTH_SMOOTHING_FACTOR = 0.5
        private const val SHRINK_SMOOTHING_FACTOR = 0.01
    }
}

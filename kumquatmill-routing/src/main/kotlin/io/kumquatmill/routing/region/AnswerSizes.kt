package io.kumquatmill.routing.region

import io.kumquatmill.common.id.RouteId
import kotlin.math.ceil

/** Expected size of the answers of each route, kept near the largest of late so that links aren't overbooked. */
class AnswerSizes(
    private val initialBytes: Long = DEFAULT_INITIAL_BYTES,
) {
    private val sizesBytes = HashMap<RouteId, Double>()

    /** Takes a complete answer of [answerBytes] into account. */
    fun record(
        route: RouteId,
        answerBytes: Long,
    ) {
        val known = sizesBytes[route] ?: answerBytes.toDouble()
        val gain = if (answerBytes > known) GAIN_UP else GAIN_DOWN
        sizesBytes[route] = known + gain * (answerBytes - known)
    }

    /** Returns the size to book for an answer of [route]. */
    fun expectedBytes(route: RouteId): Long = sizesBytes[route]?.let { ceil(it).toLong() } ?: initialBytes

    companion object {
        const val DEFAULT_INITIAL_BYTES: Long = 16_384
        private const val GAIN_UP = 0.5
        private const val GAIN_DOWN = 0.01
    }
}

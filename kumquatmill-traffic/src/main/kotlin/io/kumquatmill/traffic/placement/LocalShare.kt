package io.kumquatmill.traffic.placement

import kotlin.math.abs
import kotlin.math.min
import kotlin.math.sign

/**
 * Part of an upstream's keys that is served in this host's region; the others belong to other regions.
 *
 * Pattern answered: a region has fewer slots or warm objects than its callers need, and demand swings. Keys move over a border
 * that itself moves slowly, so that warm objects stay warm and the cap on shifts holds.
 */
class LocalShare(
    first: Double,
    private val stepPerS: Double,
) {
    /** Keys whose position in 0..1 lies below this stay in the region. */
    var value: Double = first.coerceIn(0.0, 1.0)
        private set

    private var movedAtMs: Long? = null

    /** Moves towards [target], no faster than the step allows. */
    fun moveTowards(
        nowMs: Long,
        target: Double,
    ) {
        val elapsedMs = nowMs - (movedAtMs ?: nowMs)
        movedAtMs = nowMs
        val distance = target.coerceIn(0.0, 1.0) - value
        value += sign(distance) * min(abs(distance), stepPerS * elapsedMs / MILLIS_PER_SECOND)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

package io.kumquatmill.routing.shift

import kotlin.math.ceil
import kotlin.math.floor

/**
 * Limits how fast an entry host shifts traffic from one region to another, and back.
 *
 * In each interval, the number of shifted requests may exceed the peak of the last [lookbackIntervals] intervals by at most this
 * host's share of the shift cap, rounded down. When the traffic may return, it shrinks by at most that share per interval.
 * [maxGrowthPerInterval] returns the current share, in requests.
 */
class ShiftLimiter(
    private val intervalMs: Long,
    lookbackIntervals: Int,
    private val maxGrowthPerInterval: () -> Double,
) {
    private val shiftedRequests = SlidingWindowCounter(intervalMs, lookbackIntervals)
    private val shiftedOrRejected = SlidingWindowCounter(intervalMs)
    private var shiftLevel = 0.0
    private var shiftLevelUpdatedAtMs = 0L

    /** Returns whether one more request may be shifted at [nowMs]. */
    fun isShiftAllowed(nowMs: Long): Boolean {
        val intervalLimit = shiftedRequests.previousIntervalsPeak(nowMs) + maxGrowthPerInterval().toInt()
        val stepLimit = ceil(intervalLimit * MAX_STEP_FRACTION).toInt()
        return shiftedRequests.currentIntervalCount(nowMs) < intervalLimit && shiftedRequests.currentStepCount(nowMs) < stepLimit
    }

    /** Records a shifted request. */
    fun recordShift(nowMs: Long) {
        shiftedRequests.add(nowMs)
        shiftedOrRejected.add(nowMs)
        val count = shiftedRequests.currentIntervalCount(nowMs)
        if (count > ceil(shiftLevel)) shiftLevel = count.toDouble()
    }

    /** Records a request that was refused because its traffic may not return to its own region yet. */
    fun recordRejectedReturn(nowMs: Long) = shiftedOrRejected.add(nowMs)

    /**
     * Returns whether the next request must still be shifted, even if its own region could serve it.
     *
     * [demand] is the number of requests from the region in the latest interval. It bounds the shift level, because the traffic
     * that has yet to return can't be much greater.
     */
    fun mustRemainShifted(
        nowMs: Long,
        demand: Int,
    ): Boolean {
        updateShiftLevel(nowMs, demand)
        return shiftedOrRejected.currentIntervalCount(nowMs) < ceil(shiftLevel)
    }

    private fun updateShiftLevel(
        nowMs: Long,
        demand: Int,
    ) {
        val maxReturnSinceUpdate = maxReturnPerInterval() * (nowMs - shiftLevelUpdatedAtMs) / intervalMs
        shiftLevel = minOf(shiftLevel - maxReturnSinceUpdate, demand * DEMAND_HEADROOM_FACTOR).coerceAtLeast(0.0)
        shiftLevelUpdatedAtMs = nowMs
    }

    private fun maxReturnPerInterval(): Double {
        val growth = maxGrowthPerInterval()
        return if (growth < 1.0) growth else floor(growth)
    }

    private companion object {
        const val MAX_STEP_FRACTION = 0.2
        const val DEMAND_HEADROOM_FACTOR = 2.0
    }
}

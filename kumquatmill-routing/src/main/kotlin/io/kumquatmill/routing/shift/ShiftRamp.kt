package io.kumquatmill.routing.shift

import kotlin.math.ceil
import kotlin.math.floor

/**
 * Bounds how fast traffic moves from one region to another, and back, at one entry host.
 *
 * In each interval the moved traffic may exceed the greatest of the last [memoryIntervals] intervals by this host's
 * part of the cap, rounded down; when the traffic may return, it shrinks by at most that part in an interval.
 * [growthPerInterval] gives the part, in requests.
 */
class ShiftRamp(
    private val intervalMs: Long,
    memoryIntervals: Int,
    private val growthPerInterval: () -> Double,
) {
    private val moved = SlidingCount(intervalMs, memoryIntervals)
    private val held = SlidingCount(intervalMs)
    private var level = 0.0
    private var levelAtMs = 0L

    /** Returns whether one more request may move at [nowMs]. */
    fun hasRoom(nowMs: Long): Boolean {
        val limit = moved.previousPeak(nowMs) + growthPerInterval().toInt()
        val stepLimit = ceil(limit * MAX_STEP_PART).toInt()
        return moved.current(nowMs) < limit && moved.step(nowMs) < stepLimit
    }

    /** Counts a request that moved. */
    fun moved(nowMs: Long) {
        moved.add(nowMs)
        held.add(nowMs)
        val count = moved.current(nowMs)
        if (count > ceil(level)) level = count.toDouble()
    }

    /** Counts a request that was refused because it may not return yet. */
    fun returnRefused(nowMs: Long) = held.add(nowMs)

    /**
     * Returns whether the next request still belongs to the other region, although its own region could serve it.
     *
     * [demand] is the number of requests of the region in the latest interval; the traffic that has to return is never
     * more than that by far.
     */
    fun holds(
        nowMs: Long,
        demand: Int,
    ): Boolean {
        updateLevel(nowMs, demand)
        return held.current(nowMs) < ceil(level)
    }

    private fun updateLevel(
        nowMs: Long,
        demand: Int,
    ) {
        val returnedSince = returnPerInterval() * (nowMs - levelAtMs) / intervalMs
        level = minOf(level - returnedSince, demand * DEMAND_SLACK).coerceAtLeast(0.0)
        levelAtMs = nowMs
    }

    private fun returnPerInterval(): Double {
        val growth = growthPerInterval()
        return if (growth < 1.0) growth else floor(growth)
    }

    private companion object {
        const val MAX_STEP_PART = 0.2
        const val DEMAND_SLACK = 2.0
    }
}

package io.kumquatmill.routing.shift

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.routing.model.ShiftCap

/**
 * The shift limiters of an entry host, one for each ordered pair of regions.
 *
 * [capFraction] returns the fraction of the shift cap between two regions that this host may currently use, from 0 to 1.
 */
class ShiftLimiters(
    private val cap: ShiftCap,
    private val capFraction: (from: RegionId, to: RegionId) -> Double,
) {
    private val limiters = HashMap<RegionId, HashMap<RegionId, ShiftLimiter>>()
    private val requestCounts = HashMap<RegionId, SlidingWindowCounter>()

    /** Time after which a request that was refused because of the shift cap may be retried. */
    val retryAfterMs: Long
        get() = cap.intervalMs

    /** Returns the limiter of traffic from region [from] that is served in region [to]. */
    fun limiter(
        from: RegionId,
        to: RegionId,
    ): ShiftLimiter = limiters.getOrPut(from) { HashMap() }.getOrPut(to) { createLimiter(from, to) }

    /** Records a request from [region]. */
    fun recordRequest(
        nowMs: Long,
        region: RegionId,
    ) = requestCounts.getOrPut(region) { SlidingWindowCounter(cap.intervalMs) }.add(nowMs)

    /** Returns the region to which the next request from [from] must still be shifted, or null if it may return. */
    fun requiredShiftTarget(
        nowMs: Long,
        from: RegionId,
    ): RegionId? {
        val demand = requestCounts[from]?.currentIntervalCount(nowMs) ?: 0
        return limiters[from]?.entries?.firstOrNull { (_, limiter) -> limiter.mustRemainShifted(nowMs, demand) }?.key
    }

    private fun createLimiter(
        from: RegionId,
        to: RegionId,
    ): ShiftLimiter {
        val capPerInterval = cap.requestsPerS * cap.intervalMs / MS_PER_S
        return ShiftLimiter(cap.intervalMs, cap.lookbackIntervals) { capPerInterval * capFraction(from, to) }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}

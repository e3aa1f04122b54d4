package io.kumquatmill.routing.shift

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.routing.model.ShiftCap

/**
 * The shift ramps of one entry host, one for each pair of regions.
 *
 * [partOfCap] gives the part of the cap between two regions that this host may use now, from 0 to 1.
 */
class ShiftRamps(
    private val cap: ShiftCap,
    private val partOfCap: (from: RegionId, to: RegionId) -> Double,
) {
    private val ramps = HashMap<RegionId, HashMap<RegionId, ShiftRamp>>()
    private val demands = HashMap<RegionId, SlidingCount>()

    /** Time after which a request that was refused for the cap may find room. */
    val retryAfterMs: Long
        get() = cap.intervalMs

    /** Returns the ramp of traffic of region [from] that is served in region [to]. */
    fun ramp(
        from: RegionId,
        to: RegionId,
    ): ShiftRamp = ramps.getOrPut(from) { HashMap() }.getOrPut(to) { newRamp(from, to) }

    /** Counts a request of [region]. */
    fun requested(
        nowMs: Long,
        region: RegionId,
    ) = demands.getOrPut(region) { SlidingCount(cap.intervalMs) }.add(nowMs)

    /** Returns the region that the next request of [from] still belongs to after a shift, if any. */
    fun holder(
        nowMs: Long,
        from: RegionId,
    ): RegionId? {
        val demand = demands[from]?.current(nowMs) ?: 0
        return ramps[from]?.entries?.firstOrNull { (_, ramp) -> ramp.holds(nowMs, demand) }?.key
    }

    private fun newRamp(
        from: RegionId,
        to: RegionId,
    ): ShiftRamp {
        val perInterval = cap.requestsPerS * cap.intervalMs / MS_PER_S
        return ShiftRamp(cap.intervalMs, cap.memoryIntervals) { perInterval * partOfCap(from, to) }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}

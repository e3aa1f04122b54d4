package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.RegionId

/**
 * Weights the workers of each region for the callers of each region, so that callers use workers of their own region as often as
 * possible while no region receives more than its share of the slots.
 *
 * Some regions have more callers than slots, and others have slots to spare. The weights follow a gravity model:
 * workers of the caller's own region are preferred by a factor of [ownRegionPreference], and the weight of each region is scaled until
 * the requests that it receives are in proportion to its slots. All hosts that know the same workers compute the same weights without
 * communicating.
 *
 * @param ownRegionPreference how many times a caller prefers a worker of its own region; 1 spreads keys evenly over all regions
 */
class RegionWeights(
    private val ownRegionPreference: Double,
) {
    /**
     * Returns the weight of a slot in each region for callers of [ownRegion].
     *
     * @param slots number of slots by region
     * @param demand requests of the callers of each region in any unit; a missing region has none
     */
    fun slotWeights(
        ownRegion: RegionId,
        slots: Map<RegionId, Double>,
        demand: Map<RegionId, Double>,
    ): Map<RegionId, Double> {
        val scale = slots.mapValues { 1.0 }.toMutableMap()
        val totalSlots = slots.values.sum()
        val totalDemand = demand.values.sum()
        if (totalSlots <= 0 || totalDemand <= 0) return slots.mapValues { (region, _) -> preference(ownRegion, region) }
        repeat(ITERATIONS) {
            val load = loads(slots, demand, scale)
            slots.forEach { (region, count) ->
                val loadFraction = load.getValue(region) / totalDemand
                if (loadFraction > 0) scale[region] = scale.getValue(region) * (count / totalSlots / loadFraction)
            }
        }
        return slots.mapValues { (region, _) -> scale.getValue(region) * preference(ownRegion, region) }
    }

    /** Returns the requests that each region receives when weighted by [scale]. */
    private fun loads(
        slots: Map<RegionId, Double>,
        demand: Map<RegionId, Double>,
        scale: Map<RegionId, Double>,
    ): Map<RegionId, Double> {
        val loads = slots.mapValues { 0.0 }.toMutableMap()
        demand.forEach { (callerRegion, requests) ->
            val weights = slots.mapValues { (region, count) -> count * scale.getValue(region) * preference(callerRegion, region) }
            val sum = weights.values.sum()
            weights.forEach { (region, weight) -> loads[region] = loads.getValue(region) + requests * weight / sum }
        }
        return loads
    }

    private fun preference(
        callerRegion: RegionId,
        workerRegion: RegionId,
    ): Double = if (callerRegion == workerRegion) ownRegionPreference else 1.0

    private companion object {
        /** After this many iterations, the loads of a few regions are within one percent of their target. */
        const val ITERATIONS = 20
    }
}

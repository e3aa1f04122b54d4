package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.RegionId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RegionWeightsTest {
    private val east = RegionId("east")
    private val west = RegionId("west")
    private val north = RegionId("north")
    private val slots = mapOf(east to 126.0, west to 108.0, north to 18.0)
    private val demand = mapOf(east to 1.0, west to 1.0, north to 1.0)

    /** Returns the fraction of the requests of [callerRegion] that each region receives. */
    private fun loadFractions(
        callerRegion: RegionId,
        regionWeights: RegionWeights = RegionWeights(10.0),
        demand: Map<RegionId, Double> = this.demand,
    ): Map<RegionId, Double> {
        val weights = regionWeights.slotWeights(callerRegion, slots, demand)
        val sum = slots.entries.sumOf { (region, count) -> count * weights.getValue(region) }
        return slots.mapValues { (region, count) -> count * weights.getValue(region) / sum }
    }

    @Test
    fun `each region receives requests in proportion to its slots`() {
        slots.forEach { (region, count) ->
            val load = listOf(east, west, north).sumOf { loadFractions(it).getValue(region) } / 3
            assertEquals(count / 252.0, load, 0.01, "load of ${region.value}")
        }
    }

    @Test
    fun `callers stay in a region with spare slots and use other regions if it has too few`() {
        assertTrue(loadFractions(east).getValue(east) > 0.8, "found ${loadFractions(east)}")
        assertTrue(loadFractions(north).getValue(north) in 0.1..0.3, "found ${loadFractions(north)}")
    }

    @Test
    fun `without a preference all regions receive the same fraction of every region's requests`() {
        assertEquals(0.5, loadFractions(north, RegionWeights(1.0)).getValue(east), 0.001)
        assertEquals(0.5, loadFractions(east, RegionWeights(1.0)).getValue(east), 0.001)
    }

    @Test
    fun `a region with most of the callers does not overload its own workers`() {
        val uneven = mapOf(east to 8.0, west to 1.0, north to 1.0)
        val load = listOf(east, west, north).sumOf { loadFractions(it, demand = uneven).getValue(east) * uneven.getValue(it) } / 10
        assertEquals(0.5, load, 0.02)
    }

    @Test
    fun `regions without slots or known demand are accepted`() {
        val regionWeights = RegionWeights(10.0)
        assertEquals(emptyMap(), regionWeights.slotWeights(east, emptyMap(), demand))
        assertEquals(mapOf(west to 1.0), regionWeights.slotWeights(east, mapOf(west to 5.0), emptyMap()))
        assertTrue(regionWeights.slotWeights(east, mapOf(west to 5.0), demand).getValue(west) > 0)
    }
}

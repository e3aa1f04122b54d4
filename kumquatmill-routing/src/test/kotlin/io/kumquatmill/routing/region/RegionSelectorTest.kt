package io.kumquatmill.routing.region

import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.model.ShiftCap
import io.kumquatmill.routing.stred
import io.kumquatmill.routing.zapad
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RegionSelectorTest {
    @Test
    fun `requests are served in their own region while it has capacity`() {
        val fixture = RegionSelectorFixture()
        repeat(50) { assertEquals(zapad, assertIs<RegionChoice.Chosen>(fixture.request(it * 10L)).worker.region) }
    }

    @Test
    fun `a refusal states which resource is exhausted`() {
        val fixture = RegionSelectorFixture(capFraction = 0.0)
        fixture.downRegions += zapad
        assertEquals(RegionChoice.Refused(RefusalReason.SHIFT_CAPPED, 1_000), fixture.request(0))
        val linkFull = RegionSelectorFixture().apply { isLinkFull = true }
        linkFull.downRegions += zapad
        assertEquals(RefusalReason.LINK_FULL, assertIs<RegionChoice.Refused>(linkFull.request(0)).reason)
        assertEquals(1, linkFull.releasedSlots, "released slots")
        val allDown = RegionSelectorFixture()
        allDown.downRegions += listOf(zapad, stred)
        assertEquals(RefusalReason.NO_CAPACITY, assertIs<RegionChoice.Refused>(allDown.request(0)).reason)
    }

    @Test
    fun `seven hosts that shift and return at the same time stay within the cap`() {
        val fixture = RegionSelectorFixture(hostCount = 7)
        simulateFailover(fixture) { nowMs, host -> (nowMs + 7 * host) % 50 == 0L }
        val growth = fixture.growthBetweenIntervals(stred)
        assertTrue(growth.max() in 10..20, "maximum growth in stred: ${growth.max()}, expected 10 to 20")
        assertTrue(growth.min() in -20..-10, "maximum decline in stred: ${growth.min()}, expected -20 to -10")
        val served = fixture.servedAtMsByRegion.getValue(stred).count { it in 25_000 until 26_000 }
        assertTrue(served >= 133, "requests served in stred within a second after the shift: $served of 140, expected at least 133")
    }

    @Test
    fun `callers of another region without live hosts are subject to the cap too`() {
        val fixture = RegionSelectorFixture()
        fixture.downRegions += stred
        for (nowMs in 0L until RegionSelectorFixture.TOTAL_MS step 10) fixture.request(nowMs, origin = stred)
        val growth = fixture.growthBetweenIntervals(zapad)
        assertTrue(growth.max() in 15..20, "maximum growth in zapad: ${growth.max()}, expected 15 to 20")
    }

    @Test
    fun `shifted traffic stays within the cap when requests arrive at random`() {
        for (seed in 1..5) {
            val random = Random(seed)
            val fixture = RegionSelectorFixture(hostCount = 7)
            simulateFailover(fixture) { _, _ -> random.nextDouble() < 0.02 }
            val served =
                fixture.servedAtMsByRegion
                    .getValue(stred)
                    .groupingBy { (it - 10_000) / 1_000 }
                    .eachCount()
            for (interval in 0L until 20L) {
                val count = served[interval] ?: 0
                assertTrue(count <= 20 * (interval + 1), "seed $seed: $count requests in interval $interval, above the cap")
            }
        }
    }

    @Test
    fun `without the limit, seven hosts exceed the cap`() {
        val fixture = RegionSelectorFixture(hostCount = 7, cap = ShiftCap(requestsPerS = 1e6, intervalMs = 1_000))
        simulateFailover(fixture) { nowMs, host -> (nowMs + 7 * host) % 50 == 0L }
        val maxGrowth = fixture.growthBetweenIntervals(stred).max()
        assertTrue(maxGrowth > 100, "maximum growth in stred without the limit: $maxGrowth, expected more than 100")
    }

    private fun simulateFailover(
        fixture: RegionSelectorFixture,
        isRequest: (nowMs: Long, host: Int) -> Boolean,
    ) {
        for (nowMs in 0L until RegionSelectorFixture.TOTAL_MS) {
            if (nowMs == 10_000L) fixture.downRegions += zapad
            if (nowMs == 30_000L) fixture.downRegions -= zapad
            repeat(7) { host -> if (isRequest(nowMs, host)) fixture.request(nowMs, host) }
        }
    }
}

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

class RegionChooserTest {
    @Test
    fun `requests are served at home while it has room`() {
        val fleet = RegionFleet()
        repeat(50) { assertEquals(zapad, assertIs<RegionChoice.Chosen>(fleet.request(it * 10L)).worker.region) }
    }

    @Test
    fun `a refusal names what is short`() {
        val fleet = RegionFleet(partOfCap = 0.0)
        fleet.downRegions += zapad
        assertEquals(RegionChoice.Refused(RefusalReason.SHIFT_CAPPED, 1_000), fleet.request(0))
        val linkFull = RegionFleet().apply { isLinkFull = true }
        linkFull.downRegions += zapad
        assertEquals(RefusalReason.LINK_FULL, assertIs<RegionChoice.Refused>(linkFull.request(0)).reason)
        assertEquals(1, linkFull.released, "slots given back")
        val allDown = RegionFleet()
        allDown.downRegions += listOf(zapad, stred)
        assertEquals(RefusalReason.NO_CAPACITY, assertIs<RegionChoice.Refused>(allDown.request(0)).reason)
    }

    @Test
    fun `seven hosts that shift and return at once stay below the cap`() {
        val fleet = RegionFleet(hostCount = 7)
        failOver(fleet) { nowMs, host -> (nowMs + 7 * host) % 50 == 0L }
        val changes = fleet.changes(stred)
        assertTrue(changes.max() in 10..20, "greatest growth in stred: ${changes.max()}, expected at most 20")
        assertTrue(changes.min() in -20..-10, "greatest return from stred: ${changes.min()}, expected at most 20")
        val served = fleet.servedAtMs.getValue(stred).count { it in 25_000 until 26_000 }
        assertTrue(served >= 133, "requests of 140 a second that stred serves after the ramp: $served")
    }

    @Test
    fun `callers of another region whose hosts are dead fall under the cap too`() {
        val fleet = RegionFleet()
        fleet.downRegions += stred
        for (nowMs in 0L until RegionFleet.TOTAL_MS step 10) fleet.request(nowMs, origin = stred)
        val changes = fleet.changes(zapad)
        assertTrue(changes.max() in 15..20, "greatest growth in zapad: ${changes.max()}, expected at most 20")
    }

    @Test
    fun `the moved traffic stays below the ramp when requests come at random`() {
        for (seed in 1..5) {
            val random = Random(seed)
            val fleet = RegionFleet(hostCount = 7)
            failOver(fleet) { _, _ -> random.nextDouble() < 0.02 }
            val served =
                fleet.servedAtMs
                    .getValue(stred)
                    .groupingBy { (it - 10_000) / 1_000 }
                    .eachCount()
            for (interval in 0L until 20L) {
                val count = served[interval] ?: 0
                assertTrue(count <= 20 * (interval + 1), "seed $seed: $count requests in interval $interval")
            }
        }
    }

    @Test
    fun `without the cap the shift of seven hosts passes it`() {
        val fleet = RegionFleet(hostCount = 7, cap = ShiftCap(requestsPerS = 1e6, intervalMs = 1_000))
        failOver(fleet) { nowMs, host -> (nowMs + 7 * host) % 50 == 0L }
        val greatest = fleet.changes(stred).max()
        assertTrue(greatest > 100, "greatest growth in stred without a cap: $greatest, expected far above 20")
    }

    private fun failOver(
        fleet: RegionFleet,
        isRequest: (nowMs: Long, host: Int) -> Boolean,
    ) {
        for (nowMs in 0L until RegionFleet.TOTAL_MS) {
            if (nowMs == 10_000L) fleet.downRegions += zapad
            if (nowMs == 30_000L) fleet.downRegions -= zapad
            repeat(7) { host -> if (isRequest(nowMs, host)) fleet.request(nowMs, host) }
        }
    }
}

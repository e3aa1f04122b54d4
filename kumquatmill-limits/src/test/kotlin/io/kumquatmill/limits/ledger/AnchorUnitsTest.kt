package io.kumquatmill.limits.ledger

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AnchorUnitsTest {
    private val settings = LedgerSettings()
    private val acme = LimitSpec.Rate(LimitId("rate/acme"), ratePerS = 50.0, burst = 20.0)

    @Test
    fun `the units of all homes add up to those of the limit`() {
        val specs =
            limits {
                for (index in 1..50) rate("rate/workspace-$index", 10.0, 5.0)
                for (index in 1..50) slots("slots/worker-$index", index % 9)
            }
        for (size in listOf(1, 2, 7, 60)) {
            val members = (1..size).map { member(it) }
            for (spec in specs) {
                assertEquals(spec.totalUnits, anchorUnits(members, spec, settings).values.sum(), "${spec.id} over $size hosts")
            }
        }
    }

    @Test
    fun `the split does not depend on the order of the members`() {
        assertEquals(anchorUnits(SEVEN, acme, settings), anchorUnits(SEVEN.reversed(), acme, settings))
    }

    @Test
    fun `homes are at most four in a region and twelve in all`() {
        val homes = anchorUnits((1..60).map { member(it) }, acme, settings).keys
        val perRegion = homes.groupingBy { host -> (1..60).first { host(it) == host } % REGIONS.size }.eachCount()
        assertEquals(listOf(4, 4, 4), perRegion.values.toList())
    }

    @Test
    fun `no host loses slots when the slots of a worker grow`() {
        for (slots in 1..20) {
            val before = anchorUnits(SEVEN, LimitSpec.Slots(LimitId("slots/w"), slots), settings)
            val after = anchorUnits(SEVEN, LimitSpec.Slots(LimitId("slots/w"), slots + 1), settings)
            assertTrue(before.all { (host, units) -> after.getValue(host) >= units }, "from $before to $after")
        }
    }

    @Test
    fun `the slots of a worker are at home in its region while a host of the region is a member`() {
        val spec = LimitSpec.Slots(LimitId("slots/w"), 7, homeRegion = REGIONS[0])
        val regions = anchorUnits(SEVEN, spec, settings).keys.map { host -> SEVEN.first { it.host == host }.region }
        assertEquals(setOf(REGIONS[0]), regions.toSet())
        assertEquals(7, anchorUnits(SEVEN.filter { it.region != REGIONS[0] }, spec, settings).values.sum())
    }
}

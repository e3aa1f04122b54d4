package io.kumquatmill.limits.ledger

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BaseUnitAllocationTest {
    private val settings = LedgerSettings()
    private val acme = LimitSpec.Rate(LimitId("rate/acme"), ratePerS = 50.0, burst = 20.0)

    @Test
    fun `the base units of all home hosts add up to the units of the limit`() {
        val specs =
            limits {
                for (index in 1..50) rate("rate/workspace-$index", 10.0, 5.0)
                for (index in 1..50) slots("slots/worker-$index", index % 9)
            }
        for (size in listOf(1, 2, 7, 60)) {
            val members = (1..size).map { member(it) }
            for (spec in specs) {
                assertEquals(spec.totalUnits, allocateBaseUnits(members, spec, settings).values.sum(), "${spec.id} over $size hosts")
            }
        }
    }

    @Test
    fun `the allocation does not depend on the order of the members`() {
        assertEquals(allocateBaseUnits(SEVEN_MEMBERS, acme, settings), allocateBaseUnits(SEVEN_MEMBERS.reversed(), acme, settings))
    }

    @Test
    fun `a limit has at most four home hosts in a region and twelve in total`() {
        val homes = allocateBaseUnits((1..60).map { member(it) }, acme, settings).keys
        val perRegion = homes.groupingBy { host -> (1..60).first { host(it) == host } % REGIONS.size }.eachCount()
        assertEquals(listOf(4, 4, 4), perRegion.values.toList())
    }

    @Test
    fun `no host loses slots when a worker gains slots`() {
        for (slots in 1..20) {
            val before = allocateBaseUnits(SEVEN_MEMBERS, LimitSpec.Slots(LimitId("slots/w"), slots), settings)
            val after = allocateBaseUnits(SEVEN_MEMBERS, LimitSpec.Slots(LimitId("slots/w"), slots + 1), settings)
            assertTrue(before.all { (host, units) -> after.getValue(host) >= units }, "from $before to $after")
        }
    }

    @Test
    fun `home hosts of worker slots are in the region of the worker while it has a member`() {
        val spec = LimitSpec.Slots(LimitId("slots/w"), 7, homeRegion = REGIONS[0])
        val regions = allocateBaseUnits(SEVEN_MEMBERS, spec, settings).keys.map { host -> SEVEN_MEMBERS.first { it.host == host }.region }
        assertEquals(setOf(REGIONS[0]), regions.toSet())
        assertEquals(7, allocateBaseUnits(SEVEN_MEMBERS.filter { it.region != REGIONS[0] }, spec, settings).values.sum())
    }
}

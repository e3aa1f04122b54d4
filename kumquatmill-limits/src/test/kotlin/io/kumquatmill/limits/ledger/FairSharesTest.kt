package io.kumquatmill.limits.ledger

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FairSharesTest {
    private val rate = LimitSpec.Rate(LimitId("rate/acme"), 10.0, 3.0)

    private fun pool(
        limit: LimitSpec,
        capacity: Long,
    ) = LenderPool(limit, host(1), capacity, minUsefulUnits = if (limit is LimitSpec.Rate) 333_334 else 1)

    @Test
    fun `a small demand is met in full and the rest is split evenly`() {
        assertEquals(listOf(10.0, 45.0, 45.0), maxMinShares(100.0, listOf(10.0, 80.0, 60.0)))
    }

    @Test
    fun `all units stay with a lender while nobody needs any`() {
        assertEquals(mapOf(host(1) to 142_857L), fairTargets(pool(rate, 142_857), listOf(HostDemand(host(2), 0))))
    }

    @Test
    fun `a single host with demand gets all units, so that it can use the whole burst`() {
        val targets = fairTargets(pool(rate, 142_857), listOf(HostDemand(host(2), 1_000_000)))
        assertEquals(142_857, targets[host(2)], "targets $targets")
    }

    @Test
    fun `a burst that is too small for all hosts goes to as many as can use it`() {
        val targets = fairTargets(pool(rate, 500_000), (1..7).map { HostDemand(host(it), 1_000_000) })
        assertEquals(2, targets.values.count { it >= 250_000 }, "targets $targets")
        assertEquals(500_000, targets.values.sum(), "targets $targets")
    }

    @Test
    fun `slot targets add up to the pool and are evenly distributed across many limits`() {
        val totals = mutableMapOf<Int, Long>()
        for (index in 1..400) {
            val slots = LimitSpec.Slots(LimitId("slots/worker-$index"), 3)
            val targets = fairTargets(pool(slots, 1), listOf(HostDemand(host(2), 3), HostDemand(host(3), 3)))
            assertEquals(1, targets.values.sum(), "targets $targets")
            for (host in 2..3) totals.merge(host, targets[host(host)] ?: 0, Long::plus)
        }
        assertTrue(totals.values.all { it in 170L..230L }, "slots by host: $totals")
    }
}

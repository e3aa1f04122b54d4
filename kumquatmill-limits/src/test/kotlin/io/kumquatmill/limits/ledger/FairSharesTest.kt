package io.kumquatmill.limits.ledger

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FairSharesTest {
    private val rate = LimitSpec.Rate(LimitId("rate/acme"), 10.0, 3.0)

    private fun pool(
        limit: LimitSpec,
        capacity: Long,
    ) = Pool(limit, host(1), capacity, leastUsefulUnits = if (limit is LimitSpec.Rate) 333_334 else 1)

    @Test
    fun `a small demand is met and the rest is split evenly`() {
        assertEquals(listOf(10.0, 45.0, 45.0), maxMinShares(100.0, listOf(10.0, 80.0, 60.0)))
    }

    @Test
    fun `all units stay with a lender while nobody needs any`() {
        assertEquals(mapOf(host(1) to 142_857L), fairTargets(pool(rate, 142_857), listOf(Party(host(2), 0))))
    }

    @Test
    fun `a single host with demand gets every unit, so that its burst is whole`() {
        val targets = fairTargets(pool(rate, 142_857), listOf(Party(host(2), 1_000_000)))
        assertEquals(142_857, targets[host(2)], "targets $targets")
    }

    @Test
    fun `a burst too small for all goes to as many hosts as can use it`() {
        val targets = fairTargets(pool(rate, 500_000), (1..7).map { Party(host(it), 1_000_000) })
        assertEquals(2, targets.values.count { it >= 250_000 }, "targets $targets")
        assertEquals(500_000, targets.values.sum(), "targets $targets")
    }

    @Test
    fun `targets in slots are whole, within the pool and even over many limits`() {
        val totals = mutableMapOf<Int, Long>()
        for (index in 1..400) {
            val slots = LimitSpec.Slots(LimitId("slots/worker-$index"), 3)
            val targets = fairTargets(pool(slots, 1), listOf(Party(host(2), 3), Party(host(3), 3)))
            assertEquals(1, targets.values.sum(), "targets $targets")
            for (host in 2..3) totals.merge(host, targets[host(host)] ?: 0, Long::plus)
        }
        assertTrue(totals.values.all { it in 170L..230L }, "slots by host: $totals")
    }
}

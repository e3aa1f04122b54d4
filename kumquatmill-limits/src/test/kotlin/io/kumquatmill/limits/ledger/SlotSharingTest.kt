package io.kumquatmill.limits.ledger

import kotlin.test.Test
import kotlin.test.assertTrue

/** How the slots of a region's workers follow the callers, at the sizes of a small fleet. */
class SlotSharingTest {
    private val workers = (1..10).map { LimitSpec.Slots(LimitId("slots/worker-$it"), 7, homeRegion = REGIONS[1]) }

    /** Offers more work than there are slots at [hosts] and returns the slots in use by each after [durationMs]. */
    private fun slotsInUse(
        hosts: List<Int>,
        durationMs: Long,
    ): Map<Int, Int> {
        val fleet = FakeFleet(SEVEN, workers, settings = LedgerSettings())
        fleet.runUntil(20_000)
        val inUse = mutableMapOf<Int, Int>()
        fleet.every(10) { hosts.forEach { index -> repeat(5) { serve(fleet, index, inUse) } } }
        fleet.runUntil(20_000 + durationMs)
        return inUse
    }

    private fun serve(
        fleet: FakeFleet,
        index: Int,
        inUse: MutableMap<Int, Int>,
    ) {
        val host = fleet.host(index)
        val worker =
            workers.shuffled(fleet.random).let { all ->
                all.firstOrNull { host.ledger.isAvailable(host.localMs(fleet.nowMs), it.id) } ?: all.first()
            }
        val holdMs = fleet.random.nextLong(100, 300)
        if (!fleet.attempt(host, worker.id, holdMs)) return
        inUse.merge(index, 1, Int::plus)
        fleet.at(fleet.nowMs + holdMs) { inUse.merge(index, -1, Int::plus) }
    }

    @Test
    fun `one host gets nearly all slots of a region within two seconds, inside or outside of it`() {
        for (host in 1..2) {
            val inUse = slotsInUse(listOf(host), 2_000).getValue(host)
            assertTrue(inUse >= 63, "slots of 70 in use by host-$host: $inUse")
        }
    }

    @Test
    fun `hosts with more work than slots end with about the same number of slots`() {
        val inUse = slotsInUse(listOf(1, 2, 3), 5_000)
        assertTrue(inUse.values.sum() >= 63 && inUse.values.all { it in 18..28 }, "slots of 70 in use: $inUse")
    }
}

package io.kumquatmill.limits.ledger

import kotlin.test.Test
import kotlin.test.assertTrue

/** Tests how the slots of a region's workers move to the hosts that receive the requests, in a small fleet. */
class SlotSharingTest {
    private val workers = (1..10).map { LimitSpec.Slots(LimitId("slots/worker-$it"), 7, homeRegion = REGIONS[1]) }

    /** Sends more requests to [hosts] than there are slots. Returns the number of slots in use by each host after [durationMs]. */
    private fun slotsInUse(
        hosts: List<Int>,
        durationMs: Long,
    ): Map<Int, Int> {
        val fleet = FakeFleet(SEVEN_MEMBERS, workers, settings = LedgerSettings())
        fleet.runUntil(20_000)
        val inUse = mutableMapOf<Int, Int>()
        fleet.every(10) { hosts.forEach { index -> repeat(5) { serveRequest(fleet, index, inUse) } } }
        fleet.runUntil(20_000 + durationMs)
        return inUse
    }

    private fun serveRequest(
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
    fun `hosts with more requests than slots end up with about the same number of slots`() {
        val inUse = slotsInUse(listOf(1, 2, 3), 5_000)
        assertTrue(inUse.values.sum() >= 63 && inUse.values.all { it in 18..28 }, "slots of 70 in use: $inUse")
    }
}

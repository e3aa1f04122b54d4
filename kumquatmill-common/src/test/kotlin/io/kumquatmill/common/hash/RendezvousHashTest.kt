package io.kumquatmill.common.hash

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class RendezvousHashTest {
    private val hosts = (1..7).map { "host-$it" }

    @Test
    fun `the order does not depend on the order of the candidates`() {
        val order = rendezvousOrder("workspace-1", hosts) { it }
        val orderOfReversed = rendezvousOrder("workspace-1", hosts.reversed()) { it }
        assertEquals(order, orderOfReversed)
    }

    @Test
    fun `removing a candidate does not change the relative order of the others`() {
        val removed = "host-3"
        val keys = (1..200).map { "key-$it" }
        for (key in keys) {
            val before = rendezvousOrder(key, hosts) { it }
            val after = rendezvousOrder(key, hosts - removed) { it }
            assertEquals(before - removed, after, "order of $key")
        }
    }

    @Test
    fun `every candidate is the first choice of some keys`() {
        val firstChoiceCounts = (1..700).map { rendezvousOrder("key-$it", hosts) { host -> host }.first() }.groupingBy { it }.eachCount()
        assertEquals(hosts.toSet(), firstChoiceCounts.keys)
        assertNotEquals(0, firstChoiceCounts.values.min(), "keys of the least loaded candidate: $firstChoiceCounts")
    }
}

package io.kumquatmill.membership

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.membership.fake.FakeFleet
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MembershipAgentTest {
    private val fleet = FakeFleet(seed = 1)

    @Test
    fun `hosts that start together become members with standing`() {
        fleet.start()
        assertEquals(fleet.hosts, fleet.hosts.filter { it.isMember && it.hasStanding })
        assertEquals(emptyList(), fleet.invariants.violations)
    }

    @Test
    fun `standing goes on while the store is down`() {
        fleet.start().faults.isStoreDown = true
        repeat(120) {
            fleet.run(1_000)
            assertTrue(fleet.hosts.all { it.hasStanding }, "after $it s: ${fleet.hosts.filterNot { it.hasStanding }.map { it.id }}")
        }
    }

    @Test
    fun `a killed host is evicted within ten seconds`() {
        fleet.start()
        fleet.hosts.last().kill()
        fleet.run(10_500)
        val uses =
            fleet.hosts
                .dropLast(1)
                .mapNotNull { it.standingUnder }
                .toSet()
        assertEquals(setOf(2L to RosterPhase.SETTLED), uses)
        assertEquals(emptyList(), fleet.invariants.violations)
    }
}

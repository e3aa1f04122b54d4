package io.kumquatmill.membership

import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.assertConverged
import io.kumquatmill.membership.fake.assertNoViolations
import io.kumquatmill.membership.fake.assertStanding
import io.kumquatmill.membership.fake.assertStandingThroughout
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StoreOutageTest {
    private val fleet = FakeFleet(seed = 3).start()
    private val lost = fleet.hosts.last()
    private val others = fleet.hosts.dropLast(1)

    @Test
    fun `standing and fresh word go on through an outage of minutes and after it`() {
        fleet.faults.isStoreDown = true
        repeat(180) {
            fleet.run(1_000)
            fleet.assertStanding(fleet.hosts)
            assertEquals(emptyList(), fleet.hosts.filterNot { it.isFresh }.map { it.id }, "without fresh word after $it s")
        }
        fleet.faults.isStoreDown = false
        fleet.assertStandingThroughout(30_000, fleet.hosts)
        assertEquals(1L, lost.standingUnder?.first, "nobody is evicted after the outage")
        fleet.assertNoViolations()
    }

    @Test
    fun `standing goes on while the store answers slowly`() {
        fleet.faults.storeDelayMs = 1_500
        fleet.assertStandingThroughout(60_000, fleet.hosts)
        fleet.assertNoViolations()
    }

    @Test
    fun `a host killed in an outage is evicted after it`() {
        fleet.faults.isStoreDown = true
        fleet.run(5_000)
        lost.kill()
        fleet.assertStandingThroughout(60_000, others)
        fleet.faults.isStoreDown = false
        fleet.run(25_000)
        fleet.assertConverged()
        assertEquals(2L, others.first().standingUnder?.first)
        fleet.assertNoViolations()
    }

    @Test
    fun `a host restarted in an outage gets the lists from its peers but no standing`() {
        fleet.faults.isStoreDown = true
        lost.kill()
        lost.start()
        fleet.run(10_000)
        assertEquals(
            others
                .first()
                .configuration.register.revision,
            lost.configuration.register.revision,
        )
        assertTrue(lost.isFresh, "it has fresh word")
        fleet.assertStanding(others)
        fleet.faults.isStoreDown = false
        fleet.run(20_000)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }

    @Test
    fun `a host next to the store that wakes in an outage serves keyed routes only by the lists of its peers`() {
        val waking = fleet.hosts.first()
        waking.freeze()
        fleet.run(1_500)
        fleet.acceptLists()
        val accepted = fleet.store.revision
        fleet.run(1_500)
        fleet.faults.isStoreDown = true
        fleet.run(6_000)
        waking.wake()
        repeat(300) {
            fleet.run(10)
            val revision = waking.configuration.register.revision
            assertTrue(!waking.isFresh || revision == accepted, "after ${it * 10} ms it serves by $revision, expected $accepted")
        }
        assertTrue(waking.isFresh, "it serves again")
    }
}

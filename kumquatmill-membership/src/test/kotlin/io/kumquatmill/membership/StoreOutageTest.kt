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
    private val failingHost = fleet.hosts.last()
    private val otherHosts = fleet.hosts.dropLast(1)

    @Test
    fun `standing and configuration freshness continue during and after a store outage of minutes`() {
        fleet.faults.isStoreDown = true
        repeat(180) {
            fleet.run(1_000)
            fleet.assertStanding(fleet.hosts)
            assertEquals(emptyList(), fleet.hosts.filterNot { it.isFresh }.map { it.id }, "hosts without a fresh configuration after $it s")
        }
        fleet.faults.isStoreDown = false
        fleet.assertStandingThroughout(30_000, fleet.hosts)
        assertEquals(1L, failingHost.standingEpochAndPhase?.first, "epoch after the outage, in which no host is evicted")
        fleet.assertNoViolations()
    }

    @Test
    fun `standing continues while the store replies slowly`() {
        fleet.faults.storeDelayMs = 1_500
        fleet.assertStandingThroughout(60_000, fleet.hosts)
        fleet.assertNoViolations()
    }

    @Test
    fun `a host killed during a store outage is evicted after it`() {
        fleet.faults.isStoreDown = true
        fleet.run(5_000)
        failingHost.kill()
        fleet.assertStandingThroughout(60_000, otherHosts)
        fleet.faults.isStoreDown = false
        fleet.run(25_000)
        fleet.assertConverged()
        assertEquals(2L, otherHosts.first().standingEpochAndPhase?.first)
        fleet.assertNoViolations()
    }

    @Test
    fun `a host restarted during a store outage receives the configuration from its peers but no standing`() {
        fleet.faults.isStoreDown = true
        failingHost.kill()
        failingHost.start()
        fleet.run(10_000)
        assertEquals(
            otherHosts
                .first()
                .configuration.current.revision,
            failingHost.configuration.current.revision,
        )
        assertTrue(failingHost.isFresh, "expected a fresh configuration on the restarted host")
        fleet.assertStanding(otherHosts)
        fleet.faults.isStoreDown = false
        fleet.run(20_000)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }

    @Test
    fun `a host in the store's region that resumes in a store outage serves routes that need a key only with its peers' configuration`() {
        val frozenHost = fleet.hosts.first()
        frozenHost.freeze()
        fleet.run(1_500)
        fleet.acceptConfiguration()
        val acceptedRevision = fleet.store.revision
        fleet.run(1_500)
        fleet.faults.isStoreDown = true
        fleet.run(6_000)
        frozenHost.unfreeze()
        repeat(300) {
            fleet.run(10)
            val revision = frozenHost.configuration.current.revision
            assertTrue(
                !frozenHost.isFresh || revision == acceptedRevision,
                "after ${it * 10} ms it serves with revision $revision, expected $acceptedRevision",
            )
        }
        assertTrue(frozenHost.isFresh, "expected the resumed host to serve again")
    }
}

package io.kumquatmill.membership

import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.assertNoViolations
import io.kumquatmill.membership.fake.vychod
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationChangeTest {
    private val fleet = FakeFleet(seed = 10).start()

    private fun FakeFleet.revisions() = hosts.map { it.configuration.current.revision }.toSet()

    private fun FakeFleet.acceptAndAwaitPropagation(limitMs: Long) {
        acceptConfiguration()
        val revision = store.revision
        run(limitMs)
        assertEquals(setOf(revision), revisions())
    }

    @Test
    fun `an accepted configuration is active on every host within about a second`() {
        repeat(20) { fleet.acceptAndAwaitPropagation(limitMs = 1_100) }
    }

    @Test
    fun `hosts without the store receive a new configuration from their peers`() {
        fleet.faults.hostsWithoutStore += fleet.hosts.drop(2).map { it.id }
        fleet.run(2_000)
        fleet.acceptAndAwaitPropagation(limitMs = 5_000)
        fleet.assertNoViolations()
    }

    @Test
    fun `a host that cannot receive new configurations stops serving routes that need a key within seconds`() {
        fleet.faults.partitionedRegions += vychod
        fleet.acceptConfiguration()
        fleet.run(6_200)
        assertEquals(emptyList(), fleet.hosts.filter { it.region == vychod && it.isFresh }.map { it.id })
        fleet.assertNoViolations()
    }

    @Test
    fun `without the freshness limit a partitioned host serves routes that need a key with a stale configuration`() {
        val settings = fleet.settings.copy(isolationPolicy = IsolationPolicy.SERVE)
        val servingFleet = FakeFleet(seed = 10, settings = settings).start()
        servingFleet.faults.partitionedRegions += vychod
        servingFleet.acceptConfiguration()
        val acceptedRevision = servingFleet.store.revision
        servingFleet.run(60_000)
        val staleHosts = servingFleet.hosts.filter { it.isFresh && it.configuration.current.revision < acceptedRevision }
        assertEquals(servingFleet.hosts.filter { it.region == vychod }.map { it.id }, staleHosts.map { it.id })
    }
}

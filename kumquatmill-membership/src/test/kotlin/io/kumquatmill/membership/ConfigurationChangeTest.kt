package io.kumquatmill.membership

import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.assertNoViolations
import io.kumquatmill.membership.fake.vychod
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationChangeTest {
    private val fleet = FakeFleet(seed = 10).start()

    private fun FakeFleet.revisions() = hosts.map { it.configuration.register.revision }.toSet()

    private fun FakeFleet.acceptAndAwait(limitMs: Long) {
        acceptLists()
        val revision = store.revision
        run(limitMs)
        assertEquals(setOf(revision), revisions())
    }

    @Test
    fun `an accepted edit is in force everywhere within a second`() {
        repeat(20) { fleet.acceptAndAwait(limitMs = 1_100) }
    }

    @Test
    fun `hosts that lost the store get an edit from their peers`() {
        fleet.faults.hostsWithoutStore += fleet.hosts.drop(2).map { it.id }
        fleet.run(2_000)
        fleet.acceptAndAwait(limitMs = 5_000)
        fleet.assertNoViolations()
    }

    @Test
    fun `a host that can not learn of edits stops serving keyed routes within seconds`() {
        fleet.faults.cutRegions += vychod
        fleet.acceptLists()
        fleet.run(6_200)
        assertEquals(emptyList(), fleet.hosts.filter { it.region == vychod && it.isFresh }.map { it.id })
        fleet.assertNoViolations()
    }

    @Test
    fun `without the freshness bound a cut host would serve by old lists`() {
        val settings = fleet.settings.copy(isolationPolicy = IsolationPolicy.SERVE)
        val serving = FakeFleet(seed = 10, settings = settings).start()
        serving.faults.cutRegions += vychod
        serving.acceptLists()
        val accepted = serving.store.revision
        serving.run(60_000)
        val stale = serving.hosts.filter { it.isFresh && it.configuration.register.revision < accepted }
        assertEquals(serving.hosts.filter { it.region == vychod }.map { it.id }, stale.map { it.id })
    }
}

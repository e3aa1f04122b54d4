package io.kumquatmill.membership

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.assertConverged
import io.kumquatmill.membership.fake.assertNoViolations
import io.kumquatmill.membership.fake.assertStanding
import io.kumquatmill.membership.fake.assertStandingThroughout
import io.kumquatmill.membership.fake.vychod
import io.kumquatmill.membership.fake.zapad
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RegionCutTest {
    private val fleet = FakeFleet(seed = 4).start()

    private fun hostsOf(region: RegionId) = fleet.hosts.filter { it.region == region }

    private fun hostsOutside(region: RegionId) = fleet.hosts.filterNot { it.region == region }

    private fun fresh() = fleet.hosts.filter { it.isFresh }

    @Test
    fun `a region cut off from all loses standing after four seconds and the rest goes on`() {
        fleet.faults.cutRegions += vychod
        fleet.run(4_500)
        fleet.assertStandingThroughout(60_000, hostsOutside(vychod))
        fleet.faults.heal()
        fleet.run(15_000)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }

    @Test
    fun `a cut of the store's region costs the other regions keyed routes but nobody its standing`() {
        fleet.faults.cutRegions += zapad
        fleet.run(6_500)
        fleet.acceptLists()
        fleet.assertStandingThroughout(60_000, fleet.hosts)
        assertEquals(hostsOf(zapad), fresh())
        fleet.faults.heal()
        fleet.assertStandingThroughout(30_000, fleet.hosts)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }

    @Test
    fun `the other regions serve keyed routes again once the host list shows the store's region gone`() {
        hostsOf(zapad).forEach { it.kill() }
        fleet.faults.isStoreDown = true
        fleet.run(7_000)
        assertEquals(emptyList(), fresh())
        fleet.run(5_000)
        assertEquals(hostsOutside(zapad), fresh())
        fleet.assertStanding(hostsOutside(zapad))
    }

    @Test
    fun `the policy to serve keeps keyed routes open through a cut of the store's region`() {
        val settings = fleet.settings.copy(isolationPolicy = IsolationPolicy.SERVE)
        val serving = FakeFleet(seed = 5, settings = settings).start()
        serving.faults.cutRegions += zapad
        serving.run(60_000)
        assertTrue(serving.hosts.all { it.isFresh })
    }
}

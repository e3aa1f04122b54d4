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

class RegionPartitionTest {
    private val fleet = FakeFleet(seed = 4).start()

    private fun hostsOf(region: RegionId) = fleet.hosts.filter { it.region == region }

    private fun hostsOutside(region: RegionId) = fleet.hosts.filterNot { it.region == region }

    private fun freshHosts() = fleet.hosts.filter { it.isFresh }

    @Test
    fun `a partitioned region loses standing after four seconds and the other regions keep it`() {
        fleet.faults.partitionedRegions += vychod
        fleet.run(4_500)
        fleet.assertStandingThroughout(60_000, hostsOutside(vychod))
        fleet.faults.heal()
        fleet.run(15_000)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }

    @Test
    fun `a partition of the store's region stops routes that need a key in the other regions but costs no host its standing`() {
        fleet.faults.partitionedRegions += zapad
        fleet.run(6_500)
        fleet.acceptConfiguration()
        fleet.assertStandingThroughout(60_000, fleet.hosts)
        assertEquals(hostsOf(zapad), freshHosts())
        fleet.faults.heal()
        fleet.assertStandingThroughout(30_000, fleet.hosts)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }

    @Test
    fun `the other regions serve routes that need a key again once the host list shows the store's region gone`() {
        hostsOf(zapad).forEach { it.kill() }
        fleet.faults.isStoreDown = true
        fleet.run(7_000)
        assertEquals(emptyList(), freshHosts())
        fleet.run(5_000)
        assertEquals(hostsOutside(zapad), freshHosts())
        fleet.assertStanding(hostsOutside(zapad))
    }

    @Test
    fun `the policy SERVE keeps routes that need a key available during a partition of the store's region`() {
        val settings = fleet.settings.copy(isolationPolicy = IsolationPolicy.SERVE)
        val servingFleet = FakeFleet(seed = 5, settings = settings).start()
        servingFleet.faults.partitionedRegions += zapad
        servingFleet.run(60_000)
        assertTrue(servingFleet.hosts.all { it.isFresh })
    }
}

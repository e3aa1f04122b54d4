package io.kumquatmill.membership

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.assertConverged
import io.kumquatmill.membership.fake.assertNoViolations
import io.kumquatmill.membership.fake.assertStanding
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EvictionTest {
    private val fleet = FakeFleet(seed = 1).start()
    private val failingHost = fleet.hosts.last()
    private val otherHosts = fleet.hosts.dropLast(1)

    @Test
    fun `a killed host is removed from the settled roster within about ten seconds`() {
        failingHost.kill()
        fleet.run(10_500)
        assertEquals(setOf(2L to RosterPhase.SETTLED), otherHosts.mapNotNull { it.standingEpochAndPhase }.toSet())
        fleet.assertNoViolations()
    }

    @Test
    fun `a frozen host that resumes has no standing and joins with a higher incarnation`() {
        val incarnation = failingHost.agent.self.incarnation
        failingHost.freeze()
        fleet.run(12_000)
        assertTrue(!failingHost.hasStanding, "expected standing to expire while the host is frozen")
        failingHost.unfreeze()
        fleet.assertStanding(otherHosts)
        fleet.run(10_000)
        fleet.assertConverged()
        assertTrue(
            failingHost.agent.self.incarnation > incarnation,
            "expected more than $incarnation, got ${failingHost.agent.self.incarnation}",
        )
        fleet.assertNoViolations()
    }

    @Test
    fun `a short freeze does not end membership`() {
        failingHost.freeze()
        fleet.run(2_500)
        failingHost.unfreeze()
        fleet.run(3_000)
        assertEquals(1L, failingHost.standingEpochAndPhase?.first)
        fleet.assertConverged()
    }

    @Test
    fun `a restarted host replaces its old incarnation in one change`() {
        failingHost.kill()
        failingHost.start()
        fleet.run(8_000)
        fleet.assertConverged()
        assertEquals(2L, failingHost.standingEpochAndPhase?.first)
        fleet.assertNoViolations()
    }

    @Test
    fun `hosts that fail together are removed in one change once the host list shows the failed witnesses gone`() {
        otherHosts.takeLast(2).forEach { it.kill() }
        failingHost.kill()
        fleet.run(20_000)
        fleet.assertConverged()
        assertEquals(2L, otherHosts.first().standingEpochAndPhase?.first)
    }

    @Test
    fun `a fleet forms a new epoch after all its hosts restart`() {
        fleet.hosts.forEach { it.kill() }
        fleet.run(1_000)
        fleet.hosts.forEach { it.start() }
        fleet.run(12_000)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }
}

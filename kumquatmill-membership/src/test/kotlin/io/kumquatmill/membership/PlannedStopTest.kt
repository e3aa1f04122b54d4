package io.kumquatmill.membership

import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.assertConverged
import io.kumquatmill.membership.fake.assertNoViolations
import io.kumquatmill.membership.fake.assertStanding
import io.kumquatmill.membership.fleet.KnownHostState
import kotlin.test.Test
import kotlin.test.assertEquals

class PlannedStopTest {
    private val fleet = FakeFleet(seed = 2).start()
    private val leavingHost = fleet.hosts.first()
    private val otherHosts = fleet.hosts.drop(1)

    private fun knownStateOfLeavingHost(): KnownHostState? {
        val known = otherHosts.last().agent.knownHosts(otherHosts.last().clockMs)
        return known.find { it.member.host == leavingHost.id }?.state
    }

    @Test
    fun `other hosts learn of a leaving host within 1500 ms and it keeps its standing`() {
        leavingHost.leave()
        fleet.run(1_500)
        assertEquals(KnownHostState.LEAVING, knownStateOfLeavingHost())
        fleet.run(20_000)
        fleet.assertStanding(fleet.hosts)
    }

    @Test
    fun `a drained host leaves the roster and may exit`() {
        leavingHost.leave()
        fleet.run(2_000)
        leavingHost.completeDrain()
        fleet.run(2_000)
        assertEquals(MembershipLifecycle.LEFT, leavingHost.agent.lifecycle)
        fleet.run(6_000)
        fleet.assertConverged()
        assertEquals(2L, otherHosts.first().standingEpochAndPhase?.first)
        assertEquals(null, knownStateOfLeavingHost())
        fleet.assertNoViolations()
    }

    @Test
    fun `a drained host may exit during a store outage`() {
        leavingHost.leave()
        fleet.faults.isStoreDown = true
        leavingHost.completeDrain()
        fleet.run(6_000)
        assertEquals(MembershipLifecycle.LEFT, leavingHost.agent.lifecycle)
        fleet.assertStanding(otherHosts)
    }
}

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
    private val leaving = fleet.hosts.first()
    private val others = fleet.hosts.drop(1)

    private fun stateOfLeaving(): KnownHostState? {
        val known = others.last().agent.knownHosts(others.last().clockMs)
        return known.find { it.member.host == leaving.id }?.state
    }

    @Test
    fun `a leaving host is known as such at once and keeps its standing`() {
        leaving.leave()
        fleet.run(1_500)
        assertEquals(KnownHostState.LEAVING, stateOfLeaving())
        fleet.run(20_000)
        fleet.assertStanding(fleet.hosts)
    }

    @Test
    fun `a drained host leaves the roster and may exit`() {
        leaving.leave()
        fleet.run(2_000)
        leaving.drained()
        fleet.run(2_000)
        assertEquals(MembershipLifecycle.LEFT, leaving.agent.lifecycle)
        fleet.run(6_000)
        fleet.assertConverged()
        assertEquals(2L, others.first().standingUnder?.first)
        assertEquals(null, stateOfLeaving())
        fleet.assertNoViolations()
    }

    @Test
    fun `a drained host may exit in a store outage`() {
        leaving.leave()
        fleet.faults.isStoreDown = true
        leaving.drained()
        fleet.run(6_000)
        assertEquals(MembershipLifecycle.LEFT, leaving.agent.lifecycle)
        fleet.assertStanding(others)
    }
}

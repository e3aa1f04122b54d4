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
    private val lost = fleet.hosts.last()
    private val others = fleet.hosts.dropLast(1)

    @Test
    fun `a killed host is out of the settled roster within ten seconds`() {
        lost.kill()
        fleet.run(10_500)
        assertEquals(setOf(2L to RosterPhase.SETTLED), others.mapNotNull { it.standingUnder }.toSet())
        fleet.assertNoViolations()
    }

    @Test
    fun `a frozen host that wakes has no standing and joins under a higher incarnation`() {
        val incarnation = lost.agent.self.incarnation
        lost.freeze()
        fleet.run(12_000)
        assertTrue(!lost.hasStanding, "standing lapses while the host is frozen")
        lost.wake()
        fleet.assertStanding(others)
        fleet.run(10_000)
        fleet.assertConverged()
        assertTrue(lost.agent.self.incarnation > incarnation, "expected more than $incarnation, got ${lost.agent.self.incarnation}")
        fleet.assertNoViolations()
    }

    @Test
    fun `a short freeze costs no membership`() {
        lost.freeze()
        fleet.run(2_500)
        lost.wake()
        fleet.run(3_000)
        assertEquals(1L, lost.standingUnder?.first)
        fleet.assertConverged()
    }

    @Test
    fun `a restarted host replaces its old incarnation in one change`() {
        lost.kill()
        lost.start()
        fleet.run(8_000)
        fleet.assertConverged()
        assertEquals(2L, lost.standingUnder?.first)
        fleet.assertNoViolations()
    }

    @Test
    fun `hosts lost together leave in one change once the host list shows lost witnesses gone`() {
        others.takeLast(2).forEach { it.kill() }
        lost.kill()
        fleet.run(20_000)
        fleet.assertConverged()
        assertEquals(2L, others.first().standingUnder?.first)
    }

    @Test
    fun `a fleet restarted as a whole forms a new epoch`() {
        fleet.hosts.forEach { it.kill() }
        fleet.run(1_000)
        fleet.hosts.forEach { it.start() }
        fleet.run(12_000)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }
}

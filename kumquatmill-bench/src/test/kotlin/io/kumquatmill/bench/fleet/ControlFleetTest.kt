package io.kumquatmill.bench.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ControlFleetTest {
    @Test
    fun `all hosts join and serve the lists`() {
        val fleet = ControlFleet(FleetPlan(hosts = 7))
        fleet.start()
        assertEquals(7, fleet.standingHosts, "hosts with standing")
        assertTrue(fleet.lowestRevision > 0, "lowest revision in force: ${fleet.lowestRevision}, expected one")
    }

    @Test
    fun `an edit reaches all hosts`() {
        val fleet = ControlFleet(FleetPlan(hosts = 7))
        fleet.start()
        val before = fleet.lowestRevision
        fleet.acceptLists()
        fleet.run(8_000)
        assertTrue(fleet.lowestRevision > before, "lowest revision in force: ${fleet.lowestRevision}, expected more than $before")
    }

    @Test
    fun `hosts keep their standing in a store outage and count what they say`() {
        val fleet = ControlFleet(FleetPlan(hosts = 7))
        fleet.start()
        fleet.store.isDown = true
        fleet.run(10_000)
        fleet.reset()
        fleet.run(10_000)
        assertEquals(7, fleet.standingHosts, "hosts with standing")
        assertTrue(fleet.traffic.messagesOf(Traffic.MEMBERSHIP) > 0, "messages of membership: none, expected some")
        assertTrue(fleet.traffic.busiestHostBytes <= fleet.traffic.peerBytes, "bytes of one host pass those of all")
    }
}

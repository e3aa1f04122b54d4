package io.kumquatmill.bench.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SimulatedFleetTest {
    @Test
    fun `all hosts join and apply the configuration`() {
        val fleet = SimulatedFleet(FleetSpec(hosts = 7))
        fleet.start()
        assertEquals(7, fleet.standingHosts, "hosts with standing")
        assertTrue(fleet.lowestRevision > 0, "lowest revision in force: ${fleet.lowestRevision}, expected at least 1")
    }

    @Test
    fun `a configuration edit reaches all hosts`() {
        val fleet = SimulatedFleet(FleetSpec(hosts = 7))
        fleet.start()
        val before = fleet.lowestRevision
        fleet.writeConfiguration()
        fleet.run(8_000)
        assertTrue(fleet.lowestRevision > before, "lowest revision in force: ${fleet.lowestRevision}, expected more than $before")
    }

    @Test
    fun `hosts keep their standing during a store outage and messages are counted`() {
        val fleet = SimulatedFleet(FleetSpec(hosts = 7))
        fleet.start()
        fleet.store.isDown = true
        fleet.run(10_000)
        fleet.reset()
        fleet.run(10_000)
        assertEquals(7, fleet.standingHosts, "hosts with standing")
        assertTrue(fleet.traffic.messagesOf(Traffic.MEMBERSHIP) > 0, "membership messages: expected at least 1, found none")
        assertTrue(
            fleet.traffic.busiestHostBytes <= fleet.traffic.peerBytes,
            "bytes of one host: ${fleet.traffic.busiestHostBytes}, expected at most ${fleet.traffic.peerBytes}, those of all hosts",
        )
    }
}

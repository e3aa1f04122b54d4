package io.kumquatmill.traffic.fleet

import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.report
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FleetViewTest {
    private val self = host("h1")
    private val fleet = FleetView(self)

    private fun servingNames(
        nowMs: Long,
        region: String = "east",
    ) = fleet.servingHosts(nowMs, region, isServing = true).map { it.host }.toSet()

    @Test
    fun `a host that is listed in the store but has not reported is not offered to callers`() {
        fleet.updateHosts(0, listOf(self, host("h2")))
        assertEquals(setOf("h1"), servingNames(0))
    }

    @Test
    fun `a host is offered to callers from its first report until it has been silent for five report intervals`() {
        fleet.onReport(0, report(host("h2")))
        assertEquals(setOf("h1", "h2"), servingNames(2_500))
        assertEquals(setOf("h1"), servingNames(2_501))
    }

    @Test
    fun `a host that stops serving is no longer offered to callers`() {
        fleet.onReport(0, report(host("h2")))
        fleet.onReport(10, report(host("h2"), sequence = 2, isServing = false))
        assertEquals(setOf("h1"), servingNames(10))
    }

    @Test
    fun `a host that is cut off from all workers is not offered to callers unless all are`() {
        fleet.onReport(0, report(host("h2")).copy(isCutOff = true))
        assertEquals(setOf("h1"), servingNames(0))
        fleet.onReport(0, report(host("h3", "west-a")))
        assertEquals(listOf("h3"), fleet.servingHosts(0, "east", isServing = true, isCutOff = true).map { it.host })
        fleet.onReport(1, report(host("h3", "west-a"), sequence = 2).copy(isCutOff = true))
        assertEquals(setOf("h1", "h2"), fleet.servingHosts(1, "east", isServing = true, isCutOff = true).map { it.host }.toSet())
    }

    @Test
    fun `peers that reach workers are those with a fresh report that says so`() {
        fleet.onReport(0, report(host("h2")).copy(workerReachAgeMs = 40))
        fleet.onReport(0, report(host("h3")).copy(workerReachAgeMs = 40, isCutOff = true))
        fleet.onReport(0, report(host("h4"), isServing = false).copy(workerReachAgeMs = 40))
        fleet.onReport(0, report(host("h5")))
        assertEquals(listOf("h2" to 1_040L), fleet.reachingPeers(1_000).map { it.report.host to it.ageMs })
        assertEquals(emptyList(), fleet.reachingPeers(1_251).map { it.report.host })
    }

    @Test
    fun `a large fleet collects changes of the store for longer, up to a bound`() {
        assertEquals(300, fleet.changeBatchMs())
        fleet.updateHosts(0, (1..20).map { host("h$it") })
        assertEquals(300, fleet.changeBatchMs())
        fleet.updateHosts(0, (1..34).map { host("h$it") })
        assertEquals(1_020, fleet.changeBatchMs())
        fleet.updateHosts(0, (1..450).map { host("h$it") })
        assertEquals(1_200, fleet.changeBatchMs())
    }

    @Test
    fun `callers of a region without hosts get those of other regions`() {
        fleet.onReport(0, report(host("h2", "west-a")))
        assertEquals(setOf("h2"), servingNames(0, "west"))
        assertEquals(setOf("h1", "h2"), servingNames(0, "north"))
    }

    @Test
    fun `an outdated report is ignored and a report after a restart is applied`() {
        assertTrue(fleet.onReport(0, report(host("h2"), sequence = 5)))
        assertFalse(fleet.onReport(1, report(host("h2"), sequence = 4)))
        assertTrue(fleet.onReport(2, report(host("h2"), sequence = 1, incarnation = 2)))
        assertFalse(fleet.onReport(3, report(host("h2"), sequence = 9, incarnation = 1)))
    }

    @Test
    fun `a host that receives no reports becomes isolated`() {
        assertFalse(fleet.isIsolated(0))
        fleet.onReport(0, report(host("h2")))
        assertFalse(fleet.isIsolated(8_000))
        assertTrue(fleet.isIsolated(8_001))
    }

    @Test
    fun `a host is isolated unless it is in contact with more than half of the fleet`() {
        val peers = (2..7).map { host("h$it") }
        fleet.updateHosts(0, peers)
        peers.take(2).forEach { fleet.onReport(9_000, report(it)) }
        assertTrue(fleet.isIsolated(9_000))
        fleet.onReport(9_000, report(peers[2]))
        assertFalse(fleet.isIsolated(9_000))
    }

    @Test
    fun `a host without known peers waits for them before it considers itself the only host`() {
        val fleet = FleetView(self, minFleetSize = 3)
        assertTrue(fleet.isIsolated(100))
        assertTrue(fleet.isIsolated(5_000))
        assertFalse(fleet.isIsolated(5_100))
    }

    @Test
    fun `a peer is fresh, then silent, then lost`() {
        val report = report(host("h2"))
        fleet.onReport(0, report)
        assertEquals(listOf<PeerLiveness>(PeerLiveness.Fresh(report)), fleet.peerLiveness(1_250))
        assertEquals(listOf<PeerLiveness>(PeerLiveness.Silent(report)), fleet.peerLiveness(10_000))
        assertEquals(listOf<PeerLiveness>(PeerLiveness.Lost), fleet.peerLiveness(10_001))
    }

    @Test
    fun `a peer that another host receives reports from is not lost`() {
        val silent = report(host("h2"))
        fleet.onReport(0, silent)
        fleet.onReport(20_000, report(host("h3")))
        assertTrue(PeerLiveness.Silent(silent) in fleet.peerLiveness(20_000), "found ${fleet.peerLiveness(20_000)}")
        fleet.onReport(20_500, report(host("h3"), sequence = 2, stalePeers = listOf("h2")))
        assertTrue(PeerLiveness.Lost in fleet.peerLiveness(20_500), "found ${fleet.peerLiveness(20_500)}")
    }

    @Test
    fun `a peer that never reported is silent until it is lost`() {
        fleet.updateHosts(0, listOf(host("h2")))
        assertEquals(listOf<PeerLiveness>(PeerLiveness.Silent(null)), fleet.peerLiveness(10_000))
        assertEquals(listOf<PeerLiveness>(PeerLiveness.Lost), fleet.peerLiveness(10_001))
    }

    @Test
    fun `hosts of a large fleet report less often`() {
        assertEquals(500, fleet.reportIntervalMs())
        fleet.updateHosts(0, (2..30).map { host("h$it") })
        assertEquals(1_000, fleet.reportIntervalMs())
        fleet.updateHosts(0, (2..98).map { host("h$it") })
        assertEquals(1_960, fleet.reportIntervalMs(), "98 hosts: 50 reports a second arrive at each")
        fleet.updateHosts(0, (2..450).map { host("h$it") })
        assertEquals(2_000, fleet.reportIntervalMs())
    }

    @Test
    fun `a host of a large fleet that fails is not offered for longer than one of a smaller fleet`() {
        fleet.updateHosts(0, (2..98).map { host("h$it") })
        fleet.onReport(0, report(host("h2")))
        assertTrue(fleet.livePeers(5_000).isNotEmpty())
        assertTrue(fleet.livePeers(5_001).isEmpty())
    }

    @Test
    fun `the liveness of a peer is not that of a report before its latest one`() {
        fleet.onReport(0, report(host("h2")))
        assertEquals(1, fleet.freshReports(0).single().sequence)
        fleet.onReport(0, report(host("h2"), sequence = 2))
        assertEquals(2, fleet.freshReports(0).single().sequence)
        assertTrue(fleet.freshReports(20_000).isEmpty())
    }

    @Test
    fun `a host that stopped serving is forgotten sooner than one that just became silent`() {
        val fleet = FleetView(self, minFleetSize = 1)
        fleet.onReport(0, report(host("h2"), isServing = false))
        fleet.onReport(0, report(host("h3")))
        fleet.updateHosts(11_000, listOf(self))
        assertEquals(setOf("h1", "h3"), fleet.hostNames())
        fleet.updateHosts(61_000, listOf(self))
        assertEquals(setOf("h1"), fleet.hostNames())
    }
}

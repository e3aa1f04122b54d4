package io.kumquatmill.traffic.reach

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.report
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RelayPeersTest {
    private val east = RegionId("east")
    private val west = RegionId("west")
    private val relays = RelayPeers(east, ReachSettings(), Random(1))
    private val eastern = (1..3).map { report(host("e$it", "east-b")) }
    private val western = (1..3).map { report(host("w$it", "west-a")) }

    private fun choose(
        peers: List<PeerReport> = eastern + western,
        nowMs: Long = 0,
        workerRegion: RegionId = east,
        homeRegions: Set<RegionId>? = null,
    ) = relays.choose(nowMs, peers, workerRegion, homeRegions)

    @Test
    fun `requests are spread evenly over the peers of the own region`() {
        repeat(30) { relays.onSent(checkNotNull(choose()).host) }
        val sent = List(3) { choose()?.also { relays.onSent(it.host) }?.host }
        assertEquals(eastern.map { it.host }.toSet(), sent.toSet())
    }

    @Test
    fun `peers in the region of the worker are as near as those of the own region`() {
        repeat(60) { relays.onSent(checkNotNull(choose(workerRegion = west)).host) }
        assertTrue(western.all { peer -> choose(listOf(peer)) != null })
        val idle = eastern + western
        val sent = idle.indices.map { choose(workerRegion = west)?.also { relays.onSent(it.host) }?.host }
        assertEquals(idle.map { it.host }.toSet(), sent.toSet())
    }

    @Test
    fun `peers of other regions are used if there are no nearer ones`() {
        assertEquals("w1", choose(listOf(western[0]))?.host)
    }

    @Test
    fun `a request with home regions is passed to peers there only`() {
        repeat(20) { assertEquals("west", choose(homeRegions = setOf(west))?.region) }
        assertNull(choose(eastern, homeRegions = setOf(west)))
    }

    @Test
    fun `a peer that failed is left out for a while`() {
        relays.onFailed(0, "e1")
        repeat(20) { assertTrue(choose(eastern, nowMs = 999)?.host != "e1") }
        assertNull(choose(listOf(eastern[0]), nowMs = 999))
        assertEquals("e1", choose(listOf(eastern[0]), nowMs = 1_000)?.host)
    }

    @Test
    fun `requests that have ended do not count`() {
        relays.onSent("e1")
        relays.onFinished("e1")
        relays.onSent("e2")
        relays.onSent("e3")
        assertEquals("e1", choose(eastern)?.host)
    }
}

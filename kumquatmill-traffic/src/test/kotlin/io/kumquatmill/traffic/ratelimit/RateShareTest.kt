package io.kumquatmill.traffic.ratelimit

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.fleet.PeerLiveness
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.report
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RateShareTest {
    private val alpha = WorkspaceTag.of(WorkspaceId("alpha"))
    private val share = RateShare(alpha, RateLimitSettings())

    private fun fresh(
        name: String,
        demandPerS: Double,
        sharePerMille: Int,
    ) = PeerLiveness.Fresh(report(host(name), demandPerS = mapOf(alpha to demandPerS), sharesPerMille = mapOf(alpha to sharePerMille)))

    private fun update(
        nowMs: Long,
        vararg peers: PeerLiveness,
        isIsolated: Boolean = false,
    ): Double {
        share.update(nowMs, ratePerS = 100.0, hosts = peers.size + 1, peers.toList(), isIsolated, raiseIntervalMs = 1_000)
        return share.value
    }

    @Test
    fun `an isolated host uses only its even share`() {
        share.reportedDemandPerS = 100.0
        assertEquals(0.4, update(0, PeerLiveness.Lost, isIsolated = true), 1e-9)
    }

    @Test
    fun `a share is raised only by capacity that no peer claims`() {
        share.reportedDemandPerS = 100.0
        assertEquals(0.0, update(0, fresh("h2", demandPerS = 0.0, sharePerMille = 1_000)), 1e-9)
        assertEquals(0.4, update(1_000, fresh("h2", demandPerS = 0.0, sharePerMille = 600)), 0.05)
    }

    @Test
    fun `two hosts that want the same capacity split it`() {
        share.reportedDemandPerS = 100.0
        val value = update(0, fresh("h2", demandPerS = 100.0, sharePerMille = 0))
        assertEquals(0.5, value, 0.01)
    }

    @Test
    fun `a share is lowered at once when a peer needs its excess`() {
        share.reportedDemandPerS = 100.0
        update(0, fresh("h2", demandPerS = 0.0, sharePerMille = 0))
        assertTrue(share.value > 0.8)
        assertEquals(0.5, update(250, fresh("h2", demandPerS = 100.0, sharePerMille = 0)), 0.01)
    }

    @Test
    fun `a share is kept while the peers have what they need`() {
        share.reportedDemandPerS = 20.0
        val first = update(0, fresh("h2", demandPerS = 20.0, sharePerMille = 300))
        share.reportedDemandPerS = 10.0
        assertEquals(first, update(250, fresh("h2", demandPerS = 12.0, sharePerMille = 300)), 1e-9)
    }

    @Test
    fun `a share is not raised by a minority while a peer is silent, nor twice before peers know of the first raise`() {
        share.reportedDemandPerS = 100.0
        val lastReport = report(host("h2"), demandPerS = mapOf(alpha to 10.0), sharesPerMille = mapOf(alpha to 300))
        assertEquals(0.0, update(0, PeerLiveness.Silent(lastReport)), 1e-9)
        val first = update(1_000, fresh("h2", demandPerS = 100.0, sharePerMille = 300))
        assertEquals(first, update(1_500, fresh("h2", demandPerS = 0.0, sharePerMille = 0)), 1e-9)
        assertTrue(update(2_000, fresh("h2", demandPerS = 0.0, sharePerMille = 0)) > first)
    }

    @Test
    fun `the share of a silent peer stays reserved, and its even share even when it is lost`() {
        share.reportedDemandPerS = 100.0
        update(0, fresh("h2", demandPerS = 0.0, sharePerMille = 0))
        val lastReport = report(host("h2"), demandPerS = mapOf(alpha to 10.0), sharesPerMille = mapOf(alpha to 700))
        assertEquals(0.3, update(2_000, PeerLiveness.Silent(lastReport)), 0.01)
        assertEquals(0.3, update(3_000, PeerLiveness.Silent(lastReport)), 0.01)
        assertEquals(0.6, update(20_000, PeerLiveness.Lost), 0.01)
    }
}

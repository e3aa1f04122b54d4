package io.kumquatmill.traffic.reach

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.worker
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class WorkerReachTest {
    private val probed = ArrayList<WorkerId>()
    private val changes = ArrayList<ReachChange>()
    private val reach = WorkerReach(ReachSettings(), Random(1), { probed += it.id }, { changes += it })
    private val workers = (1..10).map { worker("w$it", zone = if (it % 2 == 0) "east-a" else "west-a") }

    /** Ages in milliseconds of the last response of a worker to each peer. */
    private var peerReachAgesMs = listOf(0L)

    private fun tick(
        nowMs: Long,
        known: List<WorkerEntry> = workers,
    ) = reach.tick(nowMs, known) { peerReachAgesMs }

    private fun failAll(
        nowMs: Long,
        from: List<WorkerEntry> = workers,
    ) = from.forEach { reach.onConnectFailed(nowMs, it.id) }

    /** All connections fail from 500 ms on; at 1,500 ms the host is cut off. */
    private fun cutOff(failing: List<WorkerEntry> = workers) {
        peerReachAgesMs = listOf(0L)
        failAll(500, failing)
        tick(1_000)
        failAll(1_400, failing)
        tick(1_500)
    }

    @Test
    fun `a host is cut off when no connection opens and its peers reach workers`() {
        cutOff()
        assertEquals(listOf(ReachChange(isCutOff = true, failedWorkers = 10, sinceMs = 1_000)), changes)
    }

    @Test
    fun `failures of one availability zone while another one accepts connections do not show a cut`() {
        val (east, west) = workers.partition { it.availabilityZone.value == "east-a" }
        for (nowMs in 1_000L..10_000L step 250) {
            failAll(nowMs, east)
            tick(nowMs)
            west.filter { it.id in probed }.forEach { reach.onConnected(nowMs + 40, it.id) }
            probed.clear()
        }
        assertEquals(emptyList(), changes)
    }

    @Test
    fun `few failures do not show a cut`() {
        cutOff(workers.take(3))
        assertFalse(reach.isCutOff)
    }

    @Test
    fun `all workers of a small deployment suffice`() {
        failAll(500, workers.take(2))
        tick(1_000, workers.take(2))
        failAll(1_400, workers.take(2))
        tick(1_500, workers.take(2))
        assertTrue(reach.isCutOff)
    }

    @Test
    fun `failures that the peers share do not show a cut`() {
        peerReachAgesMs = listOf(600L, 2_000L)
        failAll(1_000)
        tick(2_000)
        failAll(2_500)
        peerReachAgesMs = listOf(1_350L, 2_750L)
        tick(2_750)
        assertFalse(reach.isCutOff, "the peers reached workers before the failures, or just after them")
        peerReachAgesMs = emptyList()
        tick(3_000)
        assertFalse(reach.isCutOff, "no peer is known to reach workers")
    }

    @Test
    fun `workers that have just come back for the peers do not show a cut`() {
        peerReachAgesMs = emptyList()
        (1_000L..5_000L step 250).forEach { nowMs ->
            failAll(nowMs)
            tick(nowMs)
        }
        peerReachAgesMs = listOf(100L)
        tick(5_250)
        assertFalse(reach.isCutOff, "no connection has failed since")
        reach.onConnected(5_400, workers[0].id)
        tick(5_500)
        assertEquals(emptyList(), changes)
    }

    @Test
    fun `failures of one upstream while another one accepts connections do not show a cut`() {
        val others = (1..3).map { worker("other$it", upstream = UpstreamId("other")) }
        for (nowMs in 1_000L..10_000L step 250) {
            failAll(nowMs)
            tick(nowMs, workers + others)
            others.filter { it.id in probed }.forEach { reach.onConnected(nowMs + 40, it.id) }
            probed.clear()
        }
        assertEquals(emptyList(), changes)
    }

    @Test
    fun `a quiet host does not decide, and probes nothing`() {
        (0L..60_000L step 250).forEach { tick(it) }
        assertEquals(emptyList(), probed)
        assertEquals(emptyList(), changes)
    }

    @Test
    fun `after one failure a host with few requests probes other workers until it can decide`() {
        reach.onConnectFailed(1_000, workers[0].id)
        for (nowMs in 1_000L..3_000L step 250) {
            tick(nowMs)
            if (reach.isCutOff) break
            probed.forEach { reach.onConnectFailed(nowMs + 200, it) }
            assertTrue(nowMs > 1_000 || workers[0].id !in probed, "a worker that has failed is probed last")
            probed.clear()
        }
        assertTrue(reach.isCutOff)
    }

    @Test
    fun `one open connection ends the suspicion`() {
        failAll(1_000)
        reach.onConnected(1_100, workers[0].id)
        tick(2_250)
        assertFalse(reach.isCutOff)
        assertEquals(emptyList(), probed)
    }

    @Test
    fun `responses over connections that live on do not hide that no new one can be opened`() {
        (500L..1_500L step 100).forEach { reach.onResponse(it) }
        cutOff()
        assertTrue(reach.isCutOff)
    }

    @Test
    fun `a cut is over when two workers accept connections`() {
        cutOff()
        reach.onConnected(2_000, workers[0].id)
        tick(2_250)
        assertTrue(reach.isCutOff, "one worker is not enough")
        reach.onConnected(2_300, workers[0].id)
        tick(2_500)
        assertTrue(reach.isCutOff, "the same worker again is not enough")
        reach.onConnected(2_600, workers[1].id)
        tick(2_750)
        assertFalse(reach.isCutOff)
        assertEquals(ReachChange(isCutOff = false, failedWorkers = 0, sinceMs = 1_250), changes.last())
    }

    @Test
    fun `a host that is cut off tries few workers`() {
        cutOff()
        probed.clear()
        for (nowMs in 1_750L..11_500L step 250) tick(nowMs)
        assertTrue(reach.isCutOff)
        assertTrue(probed.size <= 60, "expected at most 60 probes in 10 s, found ${probed.size}")
    }

    @Test
    fun `draining workers and workers that have left are not considered`() {
        failAll(1_000, workers.take(4))
        tick(2_250, workers.drop(4))
        assertFalse(reach.isCutOff)
        reach.onConnectFailed(3_000, workers[4].id)
        tick(3_250, listOf(workers[4], workers[5], worker("w9", isDraining = true)))
        assertEquals(listOf(workers[5].id, workers[4].id), probed)
    }
}

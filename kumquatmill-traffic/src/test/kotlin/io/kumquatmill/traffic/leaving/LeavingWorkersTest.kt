package io.kumquatmill.traffic.leaving

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RefusalCause
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.report
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LeavingWorkersTest {
    private val changes = ArrayList<LeavingChange>()
    private val e1 = worker("e1")
    private val e2 = worker("e2")
    private val leaves = WorkerWord(isLeaving = true)
    private val peer = host("h2")

    private fun controller(vararg workers: WorkerEntry = arrayOf(e1, e2)) =
        TrafficController(host("h1"), settings(), onLeavingChange = { changes += it }).apply {
            updateHosts(0, listOf(host("h1"), peer))
            update(0, steeringState(workers.toList()))
        }

    private fun TrafficController.begin(
        nowMs: Long,
        id: String = "r$nowMs",
    ): Pair<TrafficRequest?, RequestAction> {
        val resolved = assertIs<RouteResolution.Resolved>(resolve("shop.example", "/lookup/1", "key-alpha"))
        return begin(nowMs, resolved, id, id, 2_000, anyFingerprint)
    }

    /** Returns the workers to which many requests, one after the other, are sent from [nowMs]. */
    private fun TrafficController.used(nowMs: Long): Set<String> =
        (0 until 40).mapNotNullTo(HashSet()) { index ->
            val (request, action) = begin(nowMs, "r$nowMs-$index")
            if (request != null) abandon(nowMs, request, isWorkerSlow = false)
            (action as? RequestAction.Send)
                ?.worker
                ?.entry
                ?.id
                ?.value
        }

    private fun told(
        sequence: Long,
        ageMs: Long,
        worker: WorkerEntry = e1,
    ): PeerReport = report(peer, sequence).copy(leavingWorkers = mapOf(WorkerTag.of(worker) to ageMs))

    /** Guards against workers that get requests for seconds after they have said that they leave, as their entry stays as it is. */
    @Test
    fun `a worker that says that it leaves gets nothing more, whatever the store says then`() {
        val controller = controller()
        assertEquals(setOf("e1", "e2"), controller.used(10))
        controller.onWorkerWord(20, e1, leaves)
        assertEquals(setOf("e2"), controller.used(20), "at once")
        val later =
            mapOf(
                "entry unchanged" to listOf(e1, e2),
                "entry written again" to listOf(e1.copy(revision = 2), e2),
                "older copy" to listOf(e1.copy(revision = 0), e2),
                "entry gone" to listOf(e2),
                "entry back" to listOf(e1.copy(revision = 9), e2),
                "at another address" to listOf(e1.copy(revision = 10, address = e2.address), e2),
            )
        later.entries.forEachIndexed { index, (what, entries) ->
            val nowMs = 1_000L * (index + 1)
            controller.update(nowMs, steeringState(entries))
            controller.tick(nowMs)
            assertEquals(setOf("e2"), controller.used(nowMs), what)
            assertTrue(controller.isLeaving(e1), what)
            assertNull(controller.relayTarget(e1.id), "$what: for a peer")
        }
        assertEquals(listOf(LeavingChange.Kind.SAID), changes.map { it.kind })
    }

    @Test
    fun `a new lifetime at the same address or with the same id is not leaving`() {
        val controller = controller()
        controller.onWorkerWord(20, e1, leaves)
        controller.update(30, steeringState(listOf(e1.copy(startedAtMs = 2, revision = 2), e2)))
        assertEquals(setOf("e1", "e2"), controller.used(40), "same id")
        controller.update(50, steeringState(listOf(e1.copy(id = WorkerId("e3"), revision = 3), e2)))
        assertEquals(setOf("e2", "e3"), controller.used(60), "same address")
        controller.update(70, steeringState(listOf(e1, e2)))
        assertEquals(setOf("e2"), controller.used(80), "the lifetime that leaves is back")
    }

    @Test
    fun `a word is remembered for long after its entry has gone, and forgotten at last`() {
        val controller = controller()
        controller.onWorkerWord(20, e1, leaves)
        controller.update(30, steeringState(listOf(e2)))
        controller.update(500_000, steeringState(listOf(e1, e2)))
        assertEquals(setOf("e2"), controller.used(500_000))
        controller.update(600_000, steeringState(listOf(e2)))
        controller.update(1_300_000, steeringState(listOf(e2)))
        controller.update(1_300_001, steeringState(listOf(e1, e2)))
        assertEquals(setOf("e1", "e2"), controller.used(1_300_001))
    }

    /** Guards against a healthy worker that is given up because another one, at the address that is named in its entry, leaves. */
    @Test
    fun `the word of another worker at the address is not about the expected one`() {
        val other = e2.copy(id = WorkerId("e9"), address = e1.address)
        val controller = controller(e1, e2, other)
        controller.onWorkerWord(20, e1, leaves.copy(isMisdirected = true))
        controller.onWorkerWord(20, e1, leaves.copy(worker = WorkerId("unknown")))
        controller.onWorkerWord(20, e1, leaves.copy(worker = e2.id))
        assertEquals(setOf("e1", "e2", "e9"), controller.used(30))
        controller.onWorkerWord(40, e1, leaves.copy(isMisdirected = true, worker = other.id))
        assertEquals(setOf("e1", "e2"), controller.used(50), "it names itself")
        controller.onWorkerWord(60, e1, leaves.copy(isMisdirected = true, worker = e1.id))
        assertEquals(setOf("e2"), controller.used(70), "the 421 of the expected worker itself")
    }

    @Test
    fun `requests are refused at once, with a time to retry after, when all workers of their upstream leave`() {
        val controller = controller()
        val (request, _) = controller.begin(10)
        listOf(e1, e2).forEach { controller.onWorkerWord(20, it, leaves) }
        val refused = assertIs<RequestAction.Refuse>(controller.onResult(30, assertNotNull(request), AttemptResult.Shed(null)))
        assertEquals(RefusalCause.NO_WORKER, refused.cause)
        val next = assertIs<RequestAction.Refuse>(controller.begin(40).second)
        assertTrue(next.retryAfterMs >= 1_000, "no successor can be in force before, found ${next.retryAfterMs}")
        controller.update(1_000, steeringState(listOf(e1, e2, worker("e3"))))
        assertEquals(setOf("e3"), controller.used(1_040))
    }

    @Test
    fun `a host that was told prefers other workers for a limited time and uses the worker when no other is left`() {
        val controller = controller()
        assertTrue(controller.onReport(1_000, told(1, ageMs = 200)))
        assertEquals(setOf("e2"), controller.used(1_010))
        controller.update(2_000, steeringState(listOf(e1.copy(revision = 2))))
        assertEquals(setOf("e1"), controller.used(2_010), "no other is left")
        controller.update(3_000, steeringState(listOf(e1.copy(revision = 3), e2)))
        controller.onWorkerWord(3_010, e2, leaves)
        assertEquals(setOf("e1"), controller.used(3_020), "the other leaves by its own word")
        val restarted = controller()
        restarted.onReport(1_000, told(1, ageMs = 200))
        restarted.tick(10_700)
        assertEquals(setOf("e2"), restarted.used(10_700))
        restarted.onReport(10_800, told(2, ageMs = 10_000))
        restarted.tick(10_900)
        assertEquals(setOf("e1", "e2"), restarted.used(10_900), "ten seconds after the word")
        assertEquals(LeavingChange.Kind.LAPSED, changes.last().kind)
    }

    @Test
    fun `a told word ends when the worker answers a later request without it, and does not return with older reports`() {
        val controller = controller(e1)
        val (early, _) = controller.begin(900)
        controller.onReport(1_000, told(1, ageMs = 50))
        controller.onResult(1_010, assertNotNull(early), AttemptResult.Answered(200, null))
        assertEquals(listOf(LeavingChange.Kind.TOLD), changes.map { it.kind }, "the request was sent before the worker said so")
        val (late, _) = controller.begin(1_020)
        controller.onResult(1_050, assertNotNull(late), AttemptResult.Answered(200, null))
        assertEquals(LeavingChange.Kind.DISPROVED, changes.last().kind)
        controller.update(1_060, steeringState(listOf(e1, e2)))
        controller.onReport(1_100, told(2, ageMs = 150))
        assertEquals(setOf("e1", "e2"), controller.used(1_110), "the same word")
        controller.onReport(1_200, told(3, ageMs = 10))
        assertEquals(setOf("e2"), controller.used(1_210), "a newer word")
    }

    @Test
    fun `only own words are reported, the newest ones, and for a limited time`() {
        val many = (1..100).map { worker("w$it") }
        val controller = controller(*many.toTypedArray())
        controller.onReport(10, told(1, ageMs = 0, many[0]))
        many.drop(1).forEachIndexed { index, worker -> controller.onWorkerWord(100L + index, worker, leaves) }
        val reported = controller.leavingWorkers(300)
        assertEquals(64, reported.size)
        assertEquals(many.takeLast(64).map { WorkerTag.of(it) }.toSet(), reported.keys)
        assertEquals(102, reported.getValue(WorkerTag.of(many.last())))
        assertEquals(emptyMap(), controller.leavingWorkers(20_000))
    }
}

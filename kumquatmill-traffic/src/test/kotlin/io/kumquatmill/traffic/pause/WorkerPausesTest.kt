package io.kumquatmill.traffic.pause

import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.StatedRateLimit
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.leaving.WorkerWord
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class WorkerPausesTest {
    private val changes = ArrayList<PauseChange>()
    private val e1 = worker("e1")
    private val e2 = worker("e2")

    private fun controller(vararg workers: WorkerEntry = arrayOf(e1)) =
        TrafficController(host("h1"), settings(), onPauseChange = { changes += it }).apply { update(0, steeringState(workers.toList())) }

    private fun pause(pauseMs: Long) = WorkerWord(isLeaving = false, pause = StatedPause.Named(pauseMs))

    private fun TrafficController.begin(
        nowMs: Long,
        id: String = "r$nowMs",
        deadlineMs: Long = 2_000,
    ): Pair<TrafficRequest?, RequestAction> {
        val resolved = assertIs<RouteResolution.Resolved>(resolve("shop.example", "/lookup/1", "key-alpha"))
        return begin(nowMs, resolved, id, id, deadlineMs, anyFingerprint)
    }

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

    private fun TrafficController.retryAfterMs(nowMs: Long): List<Long> =
        (0 until 40).map { assertIs<RequestAction.Refuse>(begin(nowMs, "r$nowMs-$it").second).retryAfterMs }

    /** Guards against a worker, alone in its service, that gets requests although it wants a pause. */
    @Test
    fun `a worker that names a pause gets nothing until its end, also if no other is left`() {
        val controller = controller(e1, e2)
        controller.onWorkerWord(100, e1, pause(4_000))
        assertEquals(setOf("e2"), controller.used(100))
        controller.onWorkerWord(200, e2, pause(2_000))
        assertEquals(emptySet(), controller.used(2_199))
        assertTrue(controller.isPaused(2_199, e2), "for a peer")
        assertEquals(setOf("e2"), controller.used(2_200))
        assertEquals(setOf("e1", "e2"), controller.used(4_100))
        assertEquals(listOf("e1" to 4_000L, "e2" to 2_000L), changes.map { it.worker.id.value to it.pauseMs })
    }

    @Test
    fun `a pause outlives new settings, its entry and failures, but not its worker's lifetime`() {
        val controller = controller(e1)
        controller.onWorkerWord(100, e1, pause(4_000))
        controller.update(200, steeringState(listOf(e1.copy(revision = 2)), desiredState(version = 2)))
        assertEquals(emptySet(), controller.used(300), "new desired state, entry written again")
        controller.update(400, steeringState(emptyList(), desiredState(version = 2)))
        controller.update(500, steeringState(listOf(e1.copy(revision = 3)), desiredState(version = 2)))
        controller.tick(600)
        assertEquals(emptySet(), controller.used(600), "entry gone and back")
        controller.update(700, steeringState(listOf(e1.copy(revision = 4, startedAtMs = 2)), desiredState(version = 2)))
        assertEquals(setOf("e1"), controller.used(800), "started again")
    }

    @Test
    fun `nothing shortens a pause, and answers to requests in flight do not tell it again`() {
        val controller = controller(e1)
        controller.onWorkerWord(100, e1, pause(4_000))
        (1..20).forEach { controller.onWorkerWord(100L + it, e1, pause(4_000)) }
        controller.onWorkerWord(150, e1, pause(10))
        assertEquals(emptySet(), controller.used(4_099))
        assertEquals(1, changes.size)
        controller.onWorkerWord(200, e1, pause(6_000))
        assertEquals(emptySet(), controller.used(6_199))
        assertEquals(setOf("e1"), controller.used(6_200))
        assertEquals(2, changes.size)
    }

    @Test
    fun `a huge pause ends by itself`() {
        val controller = controller(e1)
        controller.onWorkerWord(100, e1, pause(Long.MAX_VALUE))
        assertEquals(emptySet(), controller.used(60_099))
        assertEquals(setOf("e1"), controller.used(60_100))
        assertEquals(60_000, changes.single().pauseMs)
    }

    @Test
    fun `callers come back after the first pause that ends, and not as one`() {
        val controller = controller(e1, e2)
        controller.onWorkerWord(100, e1, pause(4_000))
        controller.onWorkerWord(100, e2, pause(2_500))
        val times = controller.retryAfterMs(600)
        assertTrue(times.all { it in 2_000..3_000 }, "found $times")
        assertTrue(times.toSet().size > 20, "found ${times.toSet()}")
    }

    @Test
    fun `a request that is refused for another reason does not come back before all pauses either`() {
        val controller = controller(e1)
        val (request, _) = controller.begin(100)
        controller.onWorkerWord(150, e1, pause(4_000))
        val refused = assertIs<RequestAction.Refuse>(controller.onResult(150, assertNotNull(request), AttemptResult.Shed(null)))
        assertTrue(refused.retryAfterMs >= 4_000, "after a refusal: ${refused.retryAfterMs}")
        val late = assertIs<RequestAction.Refuse>(controller.begin(200, deadlineMs = 5).second)
        assertTrue(late.retryAfterMs >= 3_950, "too late: ${late.retryAfterMs}")
    }

    @Test
    fun `a worker that others can stand in for does not hold callers back`() {
        val controller = controller(e1, e2)
        controller.onWorkerWord(100, e1, pause(4_000))
        val (request, _) = controller.begin(110)
        val refused = assertIs<RequestAction.Refuse>(controller.onResult(120, assertNotNull(request), AttemptResult.Shed(null)))
        assertTrue(refused.retryAfterMs < 1_000, "found ${refused.retryAfterMs}")
    }

    @Test
    fun `a pause and the rate that a worker takes hold beside each other`() {
        val controller = controller(e1)
        val (request, _) = controller.begin(100)
        controller.onWorkerWord(150, e1, pause(1_000))
        controller.onResult(150, assertNotNull(request), AttemptResult.Answered(200, null, StatedRateLimit.Named(0.0)))
        controller.tick(200)
        assertEquals(emptySet(), controller.used(1_100), "pause")
        val sent = (1_150L..3_000L step 10).count { controller.begin(it, "l$it").second is RequestAction.Send }
        assertTrue(sent <= 3, "after the pause the limit of none a second holds: $sent requests sent")
    }

    @Test
    fun `the pause of another worker at the address is not that of the expected one`() {
        val controller = controller(e1)
        controller.onWorkerWord(100, e1, pause(4_000).copy(isMisdirected = true))
        controller.onWorkerWord(100, e1, pause(4_000).copy(worker = e2.id))
        assertEquals(setOf("e1"), controller.used(110))
    }
}

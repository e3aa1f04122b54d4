package io.kumquatmill.traffic.control

import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.route
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.trafficController
import io.kumquatmill.traffic.worker
import io.kumquatmill.traffic.workspace
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class TrafficControllerTest {
    private val workers = (1..4).map { worker("e$it") }

    private fun TrafficController.resolved(): RouteResolution.Resolved = assertIs(resolve("shop.example", "/lookup/1", "key-alpha"))

    private fun TrafficController.beginSent(deadlineMs: Long = 2_000): Pair<TrafficRequest, RequestAction.Send> {
        val (request, action) = begin(0, resolved(), "k1", "r1", deadlineMs, anyFingerprint)
        return assertNotNull(request) to assertIs<RequestAction.Send>(action)
    }

    private fun nonIdempotentController(workers: List<WorkerEntry> = this.workers) =
        trafficController(workers, desiredState(routes = listOf(route(isIdempotent = false))))

    @Test
    fun `a request is not resolved before the first desired state`() {
        assertEquals(RouteResolution.NotReady, TrafficController(host("h1"), settings()).resolve("shop.example", "/lookup/1", "key-alpha"))
    }

    @Test
    fun `a request is resolved by its route and key`() {
        val controller = trafficController(workers)
        assertEquals(RouteResolution.UnknownRoute, controller.resolve("shop.example", "/else/", "key-alpha"))
        assertEquals(RouteResolution.UnknownKey, controller.resolve("shop.example", "/lookup/1", "key-beta"))
        assertEquals(RouteResolution.UnknownKey, controller.resolve("shop.example", "/lookup/1", null))
        assertEquals(
            "alpha",
            controller
                .resolved()
                .workspace
                ?.id
                ?.value,
        )
    }

    /** Guards against requests that run without a key because no workspace has one left. */
    @Test
    fun `a request needs a key whether or not any workspace has one, unless the desired state knows no workspaces`() {
        val withoutKeys = listOf(workspace(keys = emptySet()))
        listOf(withoutKeys, emptyList()).forEach { workspaces ->
            val started = trafficController(workers, desiredState(version = 7, workspaces = workspaces))
            val changed = trafficController(workers, desiredState(version = 5))
            changed.update(10, steeringState(workers, desiredState(version = 7, workspaces = workspaces)))
            listOf(started, changed).forEach { controller ->
                listOf(null, "", "key-alpha", "key-beta").forEach { key ->
                    val resolution = controller.resolve("shop.example", "/lookup/1", key)
                    assertEquals(RouteResolution.UnknownKey, resolution, "key '$key' of $workspaces")
                }
            }
            started.update(20, steeringState(workers, desiredState(version = 8)))
            assertIs<RouteResolution.Resolved>(started.resolve("shop.example", "/lookup/1", "key-alpha"))
        }
        val keyless = trafficController(workers, desiredState(workspaces = emptyList(), isKeyRequired = false))
        assertIs<RouteResolution.Resolved>(keyless.resolve("shop.example", "/lookup/1", null))
    }

    @Test
    fun `an older desired state never replaces a newer one`() {
        val controller = trafficController(workers, desiredState(version = 7))
        controller.update(10, steeringState(workers, desiredState(version = 5, workspaces = emptyList())))
        assertEquals(7, controller.version)
        controller.update(20, steeringState(workers, desiredState(version = 9, workspaces = emptyList())))
        assertEquals(9, controller.version)
    }

    /** Guards against orders that are sent twice, once by a grant of tokens and once by the timer of the same wait. */
    @Test
    fun `a request is continued only while it waits for tokens, and is never sent while an attempt is in progress`() {
        val controller = nonIdempotentController()
        val (sent, _) = controller.beginSent()
        assertFailsWith<IllegalStateException> { controller.resume(10, sent) }
        assertEquals(1, sent.attempts)
        assertIs<RequestAction.Fail>(controller.onResult(50, sent, AttemptResult.Unknown("reset")))
        assertFailsWith<IllegalStateException> { controller.resume(60, sent) }
        assertEquals(1, sent.attempts)
    }

    @Test
    fun `a request with an unknown outcome is never retried on a route that is not idempotent`() {
        val controller = nonIdempotentController()
        val (request, _) = controller.beginSent()
        assertIs<RequestAction.Fail>(controller.onResult(50, request, AttemptResult.Unknown("reset")))
    }

    @Test
    fun `a request with an unknown outcome is retried at another worker on an idempotent route`() {
        val controller = trafficController(workers)
        val (request, first) = controller.beginSent()
        val second = assertIs<RequestAction.Send>(controller.onResult(50, request, AttemptResult.Unknown("reset")))
        assertNotEquals(first.worker.entry.id, second.worker.entry.id)
    }

    @Test
    fun `a request that was shed or not sent is retried at another worker on every route`() {
        val results = listOf(AttemptResult.Shed(null), AttemptResult.Unreachable("refused"), AttemptResult.Misdirected)
        results.forEach { result ->
            val controller = nonIdempotentController()
            val (request, first) = controller.beginSent()
            val second = assertIs<RequestAction.Send>(controller.onResult(50, request, result), "after $result")
            assertNotEquals(first.worker.entry.id, second.worker.entry.id)
        }
    }

    /** Guards against hosts that are ready and refuse everything, because single answers have named all their workers as gone. */
    @Test
    fun `a worker whose address answers 421 is left out for a limited time, and taken back when it answers itself`() {
        val controller = nonIdempotentController(listOf(worker("e1"), worker("e2")))
        val (request, _) = controller.beginSent()
        assertIs<RequestAction.Send>(controller.onResult(10, request, AttemptResult.Misdirected))
        val refused = assertIs<RequestAction.Refuse>(controller.onResult(20, request, AttemptResult.Misdirected))
        assertEquals(RefusalCause.NO_CAPACITY, refused.cause)
        assertTrue(refused.retryAfterMs in 990..2_000, "come back after ${refused.retryAfterMs} ms")
        assertIs<RequestAction.Refuse>(controller.begin(900, controller.resolved(), "k1", "r2", 2_000, anyFingerprint).second)
        val trials = (1..4).map { controller.begin(1_100, controller.resolved(), "k1", "t$it", 2_000, anyFingerprint) }
        assertEquals(2, trials.count { (_, action) -> action is RequestAction.Send }, "one request at a time for each of two workers")
        trials.mapNotNull { it.first }.filter { it.attempts > 0 }.forEach {
            assertEquals(RequestAction.Deliver, controller.onResult(1_150, it, AttemptResult.Answered(200, null)))
        }
        val later = (1..4).map { controller.begin(1_200, controller.resolved(), "k1", "l$it", 2_000, anyFingerprint).second }
        assertTrue(later.all { it is RequestAction.Send }, "found $later")
    }

    @Test
    fun `an address that belongs to another worker gets few requests while the entry of the ended one stays`() {
        val controller = nonIdempotentController(listOf(worker("e1")))
        val sentAtMs =
            (0L..10_000L step 10).filter { nowMs ->
                val (request, action) = controller.begin(nowMs, controller.resolved(), "k1", "r$nowMs", 2_000, anyFingerprint)
                if (action is RequestAction.Send) controller.onResult(nowMs + 1, assertNotNull(request), AttemptResult.Misdirected)
                action is RequestAction.Send
            }
        assertEquals(4, sentAtMs.size, "sent at $sentAtMs")
    }

    @Test
    fun `a request that no worker executed is refused and its token is refunded`() {
        val limited =
            desiredState(routes = listOf(route(isIdempotent = false)), workspaces = listOf(workspace(ratePerS = 1.0, burst = 1.0)))
        val controller = trafficController(listOf(worker("e1")), limited)
        controller.tick(6_000)
        val (request, action) = controller.begin(8_000, controller.resolved(), "k1", "r1", 2_000, anyFingerprint)
        assertIs<RequestAction.Send>(action)
        assertIs<RequestAction.Refuse>(controller.onResult(8_050, assertNotNull(request), AttemptResult.Shed(null)))
        val (_, nextAction) = controller.begin(8_060, controller.resolved(), "k1", "r2", 2_000, anyFingerprint)
        assertNotEquals(RefusalCause.RATE_LIMIT_EXCEEDED, (nextAction as? RequestAction.Refuse)?.cause)
    }

    @Test
    fun `a request is executed by no more workers than its route allows`() {
        val controller = trafficController(workers)
        val (request, _) = controller.beginSent()
        assertIs<RequestAction.Send>(controller.onResult(10, request, AttemptResult.Unknown("reset")))
        assertIs<RequestAction.Fail>(controller.onResult(20, request, AttemptResult.Unknown("reset")))
    }

    @Test
    fun `a worker's error response is delivered when no other worker is available`() {
        val controller = trafficController(listOf(worker("e1")))
        val (request, _) = controller.beginSent()
        assertEquals(RequestAction.Deliver, controller.onResult(10, request, AttemptResult.Answered(500, null)))
    }

    /** Guards against callers that are told "not run" by a status of a worker that has run the request. */
    @Test
    fun `a worker's status that promises callers that a request has not run is never delivered`() {
        listOf(408, 421, 429, 503).forEach { status ->
            val answer = AttemptResult.Answered(status, null)
            val orders = nonIdempotentController()
            val (order, _) = orders.beginSent()
            assertIs<RequestAction.Fail>(orders.onResult(50, order, answer), "status $status")
            assertEquals(1, order.attempts, "status $status: sent once")
            val controller = trafficController(workers)
            val (enquiry, first) = controller.beginSent()
            val second = assertIs<RequestAction.Send>(controller.onResult(50, enquiry, answer), "status $status")
            assertNotEquals(first.worker.entry.id, second.worker.entry.id)
            assertIs<RequestAction.Fail>(controller.onResult(60, enquiry, answer), "status $status")
        }
    }

    @Test
    fun `a worker gets no more time than both the caller and the route allow`() {
        assertEquals(500, trafficController(workers).beginSent(deadlineMs = 500).second.timeoutMs)
        assertEquals(2_000, trafficController(workers).beginSent(deadlineMs = 60_000).second.timeoutMs)
    }

    @Test
    fun `a request above the workspace's rate limit is refused with a retry time`() {
        val controller = trafficController(workers, desiredState(workspaces = listOf(workspace(ratePerS = 10.0, burst = 5.0))))
        controller.tick(1_000)
        val actions = (1..50).map { controller.begin(1_000, controller.resolved(), "k$it", "r$it", 2_000, anyFingerprint).second }
        val refused = actions.filterIsInstance<RequestAction.Refuse>().filter { it.cause == RefusalCause.RATE_LIMIT_EXCEEDED }
        assertTrue(refused.isNotEmpty())
        assertTrue(refused.all { it.retryAfterMs > 0 })
    }
}

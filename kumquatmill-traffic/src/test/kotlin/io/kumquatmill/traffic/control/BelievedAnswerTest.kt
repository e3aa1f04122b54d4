package io.kumquatmill.traffic.control

import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.trafficController
import io.kumquatmill.traffic.worker
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against single answers of a worker, which may be wrong, that change what a host believes of it for longer than a moment. */
class BelievedAnswerTest {
    private val slots = 4
    private val controller = trafficController(listOf(worker("e1", slots = slots)))
    private var requestCount = 0
    private var nowMs = 0L

    private fun advanceTo(atMs: Long) {
        while (nowMs < atMs) {
            nowMs++
            if (nowMs % TICK_MS == 0L) controller.tick(nowMs)
        }
    }

    private fun begin(): Pair<TrafficRequest?, RequestAction> {
        val resolved = assertIs<RouteResolution.Resolved>(controller.resolve("shop.example", "/lookup/1", "key-alpha"))
        return controller.begin(nowMs, resolved, "k1", "r${++requestCount}", DEADLINE_MS, anyFingerprint)
    }

    private fun beginSent(): TrafficRequest {
        val (request, action) = begin()
        assertIs<RequestAction.Send>(action, "at $nowMs ms")
        return assertNotNull(request)
    }

    /** Sends a request that the worker answers with [result] after a usual time. */
    private fun exchange(result: AttemptResult) {
        val request = beginSent()
        advanceTo(nowMs + SERVICE_MS)
        controller.onResult(nowMs, request, result)
    }

    /** Returns the time in milliseconds until the worker gets a request again; the request is answered with [answer]. */
    private fun leftOutMs(answer: AttemptResult = answered()): Long {
        val startMs = nowMs
        while (nowMs - startMs < MAX_WAIT_MS) {
            val (request, action) = begin()
            if (action is RequestAction.Send) {
                controller.onResult(nowMs + 1, assertNotNull(request), answer)
                return nowMs - startMs
            }
            advanceTo(nowMs + STEP_MS)
        }
        return Long.MAX_VALUE
    }

    private fun answered(
        status: Int = 200,
        load: WorkerLoad? = null,
        limit: StatedRateLimit = StatedRateLimit.None,
    ) = AttemptResult.Answered(status, load, limit)

    private fun assertTakesAsManyAsItsSlots(description: String) {
        val requests = (1..slots).map { begin() }
        assertTrue(requests.all { (_, action) -> action is RequestAction.Send }, "$description: $requests")
        requests.forEach { (request, _) -> controller.onResult(nowMs, assertNotNull(request), answered()) }
    }

    @Test
    fun `any one answer leaves a worker out for a limited time, and its next own answer wins it back`() {
        val limitsMs =
            mapOf(
                AttemptResult.Shed(null) to LOAD_TTL_MS,
                AttemptResult.Shed(WorkerLoad(Int.MAX_VALUE, Int.MAX_VALUE, 0)) to LOAD_TTL_MS,
                AttemptResult.Misdirected to 1_000L,
                AttemptResult.Unreachable("refused", isRefused = true) to 500L,
                AttemptResult.Unknown("reset", isConnectionLost = true) to 0L,
                AttemptResult.Unknown("the answer was cut") to 0L,
                answered(500) to 0L,
                answered(503) to 0L,
                answered(load = WorkerLoad(Int.MAX_VALUE, 0, 8)) to LOAD_TTL_MS,
                answered(load = WorkerLoad(Int.MAX_VALUE, Int.MAX_VALUE, 0)) to LOAD_TTL_MS,
                answered(load = WorkerLoad(0, 0, 0)) to 0L,
                answered(limit = StatedRateLimit.Named(0.0)) to 4_000L,
                answered(limit = StatedRateLimit.Invalid) to 0L,
            )
        limitsMs.forEach { (answer, limitMs) ->
            advanceTo(nowMs + 10_000)
            exchange(answered())
            exchange(answer)
            val leftOutMs = leftOutMs()
            assertTrue(leftOutMs <= limitMs, "left out for $leftOutMs ms, at most $limitMs, after $answer")
            advanceTo(nowMs + LOAD_TTL_MS)
            assertTakesAsManyAsItsSlots("after $answer and an answer of its own")
        }
    }

    @Test
    fun `a load beyond all numbers makes a worker full, not idle`() {
        exchange(answered())
        exchange(answered(load = WorkerLoad(Int.MAX_VALUE, Int.MAX_VALUE, 8)))
        assertIs<RequestAction.Refuse>(begin().second)
    }

    /** Guards against a load that was reported long ago and counts again after each refusal. */
    @Test
    fun `a refusal says that a worker is full, and brings no load back that it reported before`() {
        exchange(answered())
        exchange(answered(load = WorkerLoad(1_000, 0, 4)))
        advanceTo(nowMs + 60_000)
        val usualMs = leftOutWithoutReportMs()
        repeat(3) {
            exchange(AttemptResult.Shed(null))
            assertEquals(usualMs, leftOutMs(), "after refusal ${it + 1}")
            advanceTo(nowMs + 10_000)
        }
    }

    /** Returns how long a worker that has reported nothing is left out after a refusal. */
    private fun leftOutWithoutReportMs(): Long =
        BelievedAnswerTest().run {
            exchange(answered())
            advanceTo(nowMs + 60_000)
            exchange(AttemptResult.Shed(null))
            leftOutMs()
        }

    private companion object {
        const val TICK_MS = 250L
        const val STEP_MS = 10L
        const val SERVICE_MS = 100L
        const val DEADLINE_MS = 2_000L
        const val LOAD_TTL_MS = 1_500L
        const val MAX_WAIT_MS = 30_000L
    }
}

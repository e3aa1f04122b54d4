package io.kumquatmill.traffic.desk

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.traffic.desired
import io.kumquatmill.traffic.desk
import io.kumquatmill.traffic.worker
import io.kumquatmill.traffic.workspace
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Replays load beyond what workers bear. */
class OverloadTest {
    @Test
    fun `a workspace far above its rate is told so, and does not press on the room of others`() {
        val pressing = workspace("alpha", ratePerS = 20.0, burst = 5.0)
        val desk =
            desk(listOf(worker("e1", slots = 1)), desired(workspaces = listOf(pressing, workspace("beta", ratePerS = 100.0, burst = 50.0))))
        val alpha = assertIs<Identification.Known>(desk.identify("shop.example", "/lookup/1", "key-alpha"))
        var overAllowance = 0
        for (nowMs in 0L until 4_000L step 5) {
            if (nowMs % 250 == 0L) desk.tick(nowMs)
            val (_, step) = desk.begin(nowMs, alpha, "k1", "r$nowMs", 2_000)
            if (step is Step.Refuse && step.reason == RefusalCause.OVER_ALLOWANCE) overAllowance++
        }
        // 200 requests a second against a rate of 20 over a fleet of at least three hosts.
        assertTrue(overAllowance > 600, "expected most of 800 requests to be over the allowance, found $overAllowance")
    }

    @Test
    fun `a caller with clearly less time left than others has been here before`() {
        val watch = ReturnWatch()
        val route = RouteId("lookup")
        assertFalse(watch.isReturning(route, 2_000))
        assertFalse(watch.isReturning(route, 1_950))
        assertTrue(watch.isReturning(route, 1_500))
        assertFalse(watch.isReturning(RouteId("other"), 1_500))
    }

    @Test
    fun `times to come back differ between callers that are turned away together`() {
        val desk = desk(listOf(worker("e1", slots = 1)))
        val known = assertIs<Identification.Known>(desk.identify("shop.example", "/lookup/1", "key-alpha"))
        val (first, sent) = desk.begin(0, known, "k1", "first", 2_000)
        assertIs<Step.Send>(sent)
        desk.onResult(100, checkNotNull(first), AttemptResult.Answered(200, WorkerLoad(1, 12, 1)))
        val times =
            (1..30)
                .map { desk.begin(101, known, "k1", "r$it", 2_000).second }
                .filterIsInstance<Step.Refuse>()
                .map { it.retryAfterMs }
        assertEquals(30, times.size)
        assertTrue(times.max() > times.min() * 1.5, "expected times that spread, found ${times.sorted()}")
    }
}

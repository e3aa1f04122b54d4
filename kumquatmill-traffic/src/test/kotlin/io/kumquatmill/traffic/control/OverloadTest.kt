package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.trafficController
import io.kumquatmill.traffic.worker
import io.kumquatmill.traffic.workspace
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Checks the decisions under more load than the workers can handle. */
class OverloadTest {
    @Test
    fun `most requests of a workspace far above its rate are refused by the rate limiter`() {
        val overloading = workspace("alpha", ratePerS = 20.0, burst = 5.0)
        val controller =
            trafficController(
                listOf(worker("e1", slots = 1)),
                desiredState(workspaces = listOf(overloading, workspace("beta", ratePerS = 100.0, burst = 50.0))),
            )
        val alpha = assertIs<RouteResolution.Resolved>(controller.resolve("shop.example", "/lookup/1", "key-alpha"))
        var refusedByRateLimit = 0
        for (nowMs in 0L until 4_000L step 5) {
            if (nowMs % 250 == 0L) controller.tick(nowMs)
            val (_, action) = controller.begin(nowMs, alpha, "k1", "r$nowMs", 2_000, anyFingerprint)
            if (action is RequestAction.Refuse && action.cause == RefusalCause.RATE_LIMIT_EXCEEDED) refusedByRateLimit++
        }
        // 200 requests per second against a rate of 20, in a fleet of at least three hosts.
        assertTrue(refusedByRateLimit > 600, "expected more than 600 of 800 requests to exceed the rate limit, found $refusedByRateLimit")
    }

    @Test
    fun `a request with a clearly shorter deadline than others is considered a retry`() {
        val detector = CallerRetryDetector()
        val route = RouteId("lookup")
        assertFalse(detector.isRetry(route, 2_000))
        assertFalse(detector.isRetry(route, 1_950))
        assertTrue(detector.isRetry(route, 1_500))
        assertFalse(detector.isRetry(RouteId("other"), 1_500))
    }

    @Test
    fun `retry times differ between callers that are refused at the same time`() {
        val controller = trafficController(listOf(worker("e1", slots = 1)))
        val resolved = assertIs<RouteResolution.Resolved>(controller.resolve("shop.example", "/lookup/1", "key-alpha"))
        val (first, firstAction) = controller.begin(0, resolved, "k1", "first", 2_000, anyFingerprint)
        assertIs<RequestAction.Send>(firstAction)
        controller.onResult(100, checkNotNull(first), AttemptResult.Answered(200, WorkerLoad(1, 12, 1)))
        val retryAfterMs =
            (1..30)
                .map { controller.begin(101, resolved, "k1", "r$it", 2_000, anyFingerprint).second }
                .filterIsInstance<RequestAction.Refuse>()
                .map { it.retryAfterMs }
        assertEquals(30, retryAfterMs.size)
        assertTrue(retryAfterMs.max() > retryAfterMs.min() * 1.5, "expected spread retry times, found ${retryAfterMs.sorted()} ms")
    }
}

package io.kumquatmill.gateway.caller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class DrainScheduleTest {
    @Test
    fun `a request that comes later than three seconds into a stop is accepted only if it ends before the exit`() {
        listOf(2_000L, 6_000L, 10_000L, 60_000L).forEach { stopTimeoutMs ->
            val schedule = DrainSchedule.of(nowMs = 1_000, stopTimeoutMs)
            val exitAtMs = 1_000 + stopTimeoutMs - DrainSchedule.EXIT_MARGIN_MS
            assertEquals(exitAtMs, schedule.exitAtMs)
            (4_000L until exitAtMs step 100).forEach { nowMs ->
                assertTrue(schedule.accepts(nowMs, timeLimitMs = exitAtMs - nowMs), "stop within $stopTimeoutMs ms, at $nowMs ms")
                assertFalse(schedule.accepts(nowMs, timeLimitMs = exitAtMs - nowMs + 1), "stop within $stopTimeoutMs ms, at $nowMs ms")
            }
        }
    }

    @Test
    fun `all requests are accepted while callers may not know of the stop yet`() {
        assertTrue(DrainSchedule.of(0, stopTimeoutMs = 6_000).accepts(2_999, timeLimitMs = 60_000))
        assertTrue(DrainSchedule.of(0, stopTimeoutMs = 2_000).accepts(999, timeLimitMs = 60_000))
    }
}

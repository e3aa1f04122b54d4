package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreCall
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StoreCallScheduleTest {
    private fun StoreCallSchedule.calmWaitMs(batchDelayMs: Long) =
        watchWaitMs(failures = 0, isConnected = true, isSettling = false, batchDelayMs)

    @Test
    fun `a silent watch is noticed with a quarter of the recovery time left`() {
        for (recoveryMs in 2_000L..60_000L step 500) {
            for (batchDelayMs in listOf(300L, 555L, 750L)) {
                val schedule = StoreCallSchedule(recoveryMs)
                val watch = StoreCall.Watch("", 1, schedule.calmWaitMs(batchDelayMs))
                val noticedMs = batchDelayMs + schedule.timeoutMs(watch)
                assertTrue(noticedMs <= recoveryMs * 3 / 4, "noticed after $noticedMs of $recoveryMs ms, batches of $batchDelayMs ms")
            }
        }
    }

    @Test
    fun `a watch waits no longer than four seconds`() = assertEquals(4_000, StoreCallSchedule(recoveryMs = 60_000).calmWaitMs(300))

    @Test
    fun `a watch waits briefly after a failure and over a new connection`() {
        val schedule = StoreCallSchedule(recoveryMs = 4_000)
        assertEquals(200, schedule.watchWaitMs(failures = 1, isConnected = true, isSettling = false, batchDelayMs = 300))
        assertEquals(200, schedule.watchWaitMs(failures = 0, isConnected = false, isSettling = false, batchDelayMs = 300))
    }

    @Test
    fun `a slow store has longer to answer after a failure`() {
        val schedule = StoreCallSchedule(recoveryMs = 4_000)
        assertEquals(1_700, schedule.timeoutMs(StoreCall.Watch("", 1, 200)))
        assertEquals(1_500, schedule.timeoutMs(StoreCall.ReadPrefix("")))
    }
}

package io.kumquatmill.standins.worker

import kotlin.test.Test
import kotlin.test.assertEquals

class LoadHistoryTest {
    @Test
    fun `reports are delayed by the lag`() {
        val history = LoadHistory()
        listOf(0L to 0, 10L to 1, 20L to 2).forEach { (atMs, busySlots) ->
            history.record(atMs, WorkerLoad(busySlots, isHealthy = true, isDraining = false))
        }
        val faults = LoadFaults(lagMs = 10)
        assertEquals(listOf(0, 0, 1, 2), listOf(5L, 15L, 25L, 35L).map { history.report(it, faults).busySlots })
    }
}

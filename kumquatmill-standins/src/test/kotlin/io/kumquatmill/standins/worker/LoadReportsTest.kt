package io.kumquatmill.standins.worker

import kotlin.test.Test
import kotlin.test.assertEquals

class LoadReportsTest {
    @Test
    fun `reports are as old as the lag`() {
        val reports = LoadReports()
        listOf(0L to 0, 10L to 1, 20L to 2).forEach { (atMs, busySlots) ->
            reports.record(atMs, WorkerLoad(busySlots, isHealthy = true, isDraining = false))
        }
        val faults = LoadFaults(lagMs = 10)
        assertEquals(listOf(0, 0, 1, 2), listOf(5L, 15L, 25L, 35L).map { reports.report(it, faults).busySlots })
    }
}

package io.kumquatmill.standins.platform

import kotlin.test.Test
import kotlin.test.assertEquals

class CallMeterTest {
    @Test
    fun `the peak is the highest count in any one-second window`() {
        val meter = CallMeter()
        listOf(0L, 500L, 900L, 1_400L, 3_000L).forEach { meter.record(it, isWrite = false) }
        meter.record(0, isWrite = true)
        assertEquals(PeakRates(readsPerS = 3, writesPerS = 1), meter.peak)
    }
}

package io.kumquatmill.standins.worker

import kotlin.test.Test
import kotlin.test.assertEquals

class ServiceTimeTest {
    private val settings =
        workerSettings {
            serviceMs = 10.0
            spread = 0.0
            coldStartMs = 100
            coldFactor = 5.0
        }

    @Test
    fun `a cold worker is slow at first and gets faster`() {
        val serviceTime = ServiceTime(settings, coldSinceMs = 0)
        val times = listOf(0L, 50L, 100L).map { serviceTime.nextMs(it, factor = 1.0) }
        assertEquals(listOf(50.0, 30.0, 10.0), times)
    }

    @Test
    fun `the same seed gives the same times`() {
        val spread = settings.copy(spread = 0.5)
        val first = ServiceTime(spread, 0)
        val second = ServiceTime(spread, 0)
        assertEquals(List(20) { first.nextMs(1_000, 2.0) }, List(20) { second.nextMs(1_000, 2.0) })
    }
}

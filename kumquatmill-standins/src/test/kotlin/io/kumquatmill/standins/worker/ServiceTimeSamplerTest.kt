package io.kumquatmill.standins.worker

import kotlin.test.Test
import kotlin.test.assertEquals

class ServiceTimeSamplerTest {
    private val settings =
        workerSettings {
            serviceMs = 10.0
            spread = 0.0
            coldStartMs = 100
            coldFactor = 5.0
        }

    @Test
    fun `service times decrease linearly during the warm-up`() {
        val serviceTimeSampler = ServiceTimeSampler(settings, coldStartedAtMs = 0)
        val times = listOf(0L, 50L, 100L).map { serviceTimeSampler.nextMs(it, factor = 1.0) }
        assertEquals(listOf(50.0, 30.0, 10.0), times)
    }

    @Test
    fun `the same seed produces the same service times`() {
        val settingsWithSpread = settings.copy(spread = 0.5)
        val first = ServiceTimeSampler(settingsWithSpread, 0)
        val second = ServiceTimeSampler(settingsWithSpread, 0)
        assertEquals(List(20) { first.nextMs(1_000, 2.0) }, List(20) { second.nextMs(1_000, 2.0) })
    }
}

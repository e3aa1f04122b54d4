package io.kumquatmill.gateway.store

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against confirmed changes that are not in force in time after connections to the store have gone silent.
 * `-Dkumquatmill.seed=N` sets another first seed.
 */
class SilentStoreSimulationTest {
    private val firstSeed = System.getProperty("kumquatmill.seed")?.toLong() ?: 1L

    private fun violations(
        hostCount: Int,
        seeds: Int,
        batchMs: Long,
        schedule: StoreCallSchedule = StoreCallSchedule(SilentStoreSimulation.STABLE_MS),
    ): List<String> =
        (firstSeed until firstSeed + seeds)
            .flatMap { seed -> SilentStoreSimulation(hostCount, seed, batchMs, schedule).run().map { "seed $seed: $it" } }
            .take(10)

    @Test
    fun `changes are in force in time after silent connections on 7 hosts`() =
        assertEquals(emptyList(), violations(hostCount = 7, seeds = 40, batchMs = 300))

    @Test
    fun `changes are in force in time after silent connections on 37 hosts`() =
        assertEquals(emptyList(), violations(hostCount = 37, seeds = 6, batchMs = 555))

    @Test
    fun `changes are in force in time after silent connections on 300 hosts`() =
        assertEquals(emptyList(), violations(hostCount = 300, seeds = 1, batchMs = 750))

    @Test
    fun `changes are not in force in time if calls are scheduled for a longer recovery`() {
        val schedule = StoreCallSchedule(recoveryMs = 10_000)
        assertTrue(violations(hostCount = 7, seeds = 5, batchMs = 300, schedule).isNotEmpty())
    }
}

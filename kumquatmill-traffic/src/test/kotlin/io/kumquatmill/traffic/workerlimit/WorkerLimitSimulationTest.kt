package io.kumquatmill.traffic.workerlimit

import kotlin.test.Test
import kotlin.test.assertEquals

/** A worker that names a limit gets no more than it allows from all hosts together. `-Dkumquatmill.seed=N` sets another first seed. */
class WorkerLimitSimulationTest {
    private fun violations(
        hostCount: Int,
        seeds: Int,
        faults: Set<HostFault> = emptySet(),
        requestsPerS: Int = 160,
        limitsPerS: List<Double> = listOf(0.0, 0.4, 2.5, 5.0, 20.0),
    ): List<String> {
        val firstSeed = System.getProperty("kumquatmill.seed")?.toLong() ?: 1L
        return limitsPerS.flatMap { limitPerS ->
            (firstSeed until firstSeed + seeds).mapNotNull { seed ->
                val max = WorkerLimitSimulation(hostCount, limitPerS, requestsPerS, faults, seed).run().maxToldInWindow()
                val bound = WorkerLimitSimulation.bound(limitPerS)
                if (max > bound) "limit $limitPerS, seed $seed: $max requests, allowed $bound" else null
            }
        }
    }

    @Test
    fun `a worker in need gets no more than its limit from 7 hosts`() = assertEquals(emptyList(), violations(hostCount = 7, seeds = 4))

    @Test
    fun `a worker in need gets no more than its limit from 37 hosts`() =
        assertEquals(emptyList(), violations(hostCount = 37, seeds = 1, requestsPerS = 400))
}

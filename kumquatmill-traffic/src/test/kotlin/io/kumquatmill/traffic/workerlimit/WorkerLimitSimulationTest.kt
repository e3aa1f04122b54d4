package io.kumquatmill.traffic.workerlimit

import io.kumquatmill.traffic.fleet.HostFault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A worker that names a limit gets no more than it allows from all hosts together. `-Dkumquatmill.seed=N` sets another first seed. */
class WorkerLimitSimulationTest {
    private val oneNeed = listOf(WorkerLimitSimulation.NEED_STARTS_MS until WorkerLimitSimulation.NEED_ENDS_MS)
    private val firstSeed = System.getProperty("kumquatmill.seed")?.toLong() ?: 1L

    private fun violations(
        hostCount: Int,
        seeds: Int,
        faults: Set<HostFault> = emptySet(),
        requestsPerS: Int = 160,
        limitsPerS: List<Double> = listOf(0.0, 0.4, 2.5, 5.0, 20.0),
        entryRevisionAtMs: Long? = null,
        needsMs: List<LongRange> = oneNeed,
    ): List<String> =
        limitsPerS.flatMap { limitPerS ->
            (firstSeed until firstSeed + seeds).mapNotNull { seed ->
                val max =
                    WorkerLimitSimulation(
                        hostCount,
                        limitPerS,
                        requestsPerS,
                        faults,
                        seed,
                        entryRevisionAtMs,
                        needsMs,
                    ).run().maxToldInWindow()
                val bound = WorkerLimitSimulation.bound(limitPerS)
                if (max > bound) "limit $limitPerS, seed $seed: $max requests, allowed $bound" else null
            }
        }

    @Test
    fun `a worker in need gets no more than its limit from 7 hosts`() = assertEquals(emptyList(), violations(hostCount = 7, seeds = 4))

    @Test
    fun `a worker in need gets no more than its limit from 37 hosts`() =
        assertEquals(emptyList(), violations(hostCount = 37, seeds = 1, requestsPerS = 400))

    @Test
    fun `a worker in need gets no more than its limit from 300 hosts`() =
        assertEquals(emptyList(), violations(hostCount = 300, seeds = 1, requestsPerS = 900, limitsPerS = listOf(0.4, 5.0)))

    @Test
    fun `a worker in need gets no more than its limit from hosts that are cut off from each other, frozen or restarted`() {
        HostFault.entries.forEach { fault ->
            assertEquals(emptyList(), violations(hostCount = 7, seeds = 3, faults = setOf(fault)), "with $fault")
        }
        assertEquals(emptyList(), violations(hostCount = 7, seeds = 4, faults = HostFault.entries.toSet()), "with all faults")
        val largeFleet = violations(hostCount = 37, seeds = 1, faults = HostFault.entries.toSet(), requestsPerS = 400)
        assertEquals(emptyList(), largeFleet, "with all faults in a large fleet")
    }

    @Test
    fun `a worker that is in need again and again gets no more than its limit, although frozen hosts tell their peers old news`() {
        val needsMs = (5_000L..40_000L step 5_000).map { it until it + 4_500 }
        listOf(emptySet(), setOf(HostFault.FROZEN), HostFault.entries.toSet()).forEach { faults ->
            assertEquals(emptyList(), violations(hostCount = 7, seeds = 10, faults = faults, needsMs = needsMs), "with $faults")
            assertEquals(
                emptyList(),
                violations(hostCount = 37, seeds = 2, faults = faults, requestsPerS = 400, needsMs = needsMs),
                "with $faults",
            )
        }
    }

    @Test
    fun `a limit outlasts the entry of its worker that vanishes and returns`() =
        assertEquals(emptyList(), violations(hostCount = 7, seeds = 2, entryRevisionAtMs = 15_000))

    @Test
    fun `a worker in need gets at least half of what it takes, and other workers serve the rest`() {
        listOf(7 to 160, 37 to 400).forEach { (hostCount, requestsPerS) ->
            listOf(2.5, 5.0, 20.0).forEach { limitPerS ->
                val simulation = WorkerLimitSimulation(hostCount, limitPerS, requestsPerS, emptySet(), firstSeed).run()
                val usedPerS = simulation.arrivalsPerS(WorkerLimitSimulation.NEED_STARTS_MS + 4_000, WorkerLimitSimulation.NEED_ENDS_MS)
                assertTrue(usedPerS >= limitPerS / 2, "$hostCount hosts: $usedPerS of $limitPerS per second used")
                assertEquals(0, simulation.refused, "$hostCount hosts, limit $limitPerS: requests refused of ${simulation.served}")
            }
        }
    }

    @Test
    fun `a worker that names no limit any more gets requests as before within ten seconds`() {
        listOf(7 to 160, 37 to 400, 300 to 900).forEach { (hostCount, requestsPerS) ->
            listOf(0.0, 2.5).forEach { limitPerS ->
                val simulation = WorkerLimitSimulation(hostCount, limitPerS, requestsPerS, emptySet(), firstSeed).run()
                val beforePerS = simulation.arrivalsPerS(1_000, WorkerLimitSimulation.NEED_STARTS_MS)
                val afterPerS =
                    simulation.arrivalsPerS(WorkerLimitSimulation.NEED_ENDS_MS + 10_000, WorkerLimitSimulation.DURATION_MS)
                assertTrue(afterPerS >= beforePerS / 2, "$hostCount hosts, limit $limitPerS: $afterPerS, $beforePerS before")
            }
        }
    }

    /** Guards against one false answer that takes a sound worker's requests away on all hosts for good. */
    @Test
    fun `a limit of nothing that a worker names for a moment only is lifted on all hosts`() {
        val momentMs = listOf(WorkerLimitSimulation.NEED_STARTS_MS..WorkerLimitSimulation.NEED_STARTS_MS + 40)
        val settings = WorkerLimitSettings()
        listOf(7 to 160, 37 to 400).forEach { (hostCount, requestsPerS) ->
            (listOf(null) + HostFault.entries).forEach { fault ->
                val simulation =
                    WorkerLimitSimulation(hostCount, 0.0, requestsPerS, setOfNotNull(fault), firstSeed, needsMs = momentMs).run()
                val triesAgainMs = if (fault == null) settings.liftReportedMs else settings.unconfirmedAfterMs + hostCount * 1_000L
                val fromMs = minOf(WorkerLimitSimulation.NEED_STARTS_MS + triesAgainMs, WorkerLimitSimulation.DURATION_MS - 10_000)
                val beforePerS = simulation.arrivalsPerS(1_000, WorkerLimitSimulation.NEED_STARTS_MS)
                val afterPerS = simulation.arrivalsPerS(fromMs, WorkerLimitSimulation.DURATION_MS)
                assertTrue(afterPerS >= beforePerS / 2, "$hostCount hosts, $fault: $afterPerS per second, $beforePerS before")
            }
        }
    }
}

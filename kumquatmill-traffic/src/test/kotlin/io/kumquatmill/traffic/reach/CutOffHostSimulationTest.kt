package io.kumquatmill.traffic.reach

import io.kumquatmill.traffic.fleet.HostFault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers of hosts that are cut off from all workers are served through peers. `-Dkumquatmill.seed=N` sets another first seed. */
class CutOffHostSimulationTest {
    private val firstSeed = System.getProperty("kumquatmill.seed")?.toLong() ?: 1L

    private fun violations(
        hostCount: Int,
        seeds: Int,
        faults: Set<HostFault> = emptySet(),
        scopes: List<CutScope> = CutScope.entries,
        timeoutMs: Long = 2_000,
    ): List<String> =
        (firstSeed until firstSeed + seeds).flatMap { seed ->
            scopes.flatMap { scope ->
                CutMode.entries.flatMap { mode ->
                    val simulation = CutOffHostSimulation(hostCount, faults, seed, scope, mode, timeoutMs = timeoutMs).run()
                    val run = "seed $seed, $scope, $mode"
                    val served = "${simulation.cut.served} of ${simulation.cut.sent}"
                    val back = simulation.after
                    listOfNotNull(
                        "$run: served $served: ${simulation.cutOutcomes}".takeIf { simulation.isServedBadly() },
                        "$run: after the cut ${back.served} of ${back.sent}".takeIf { back.served < back.sent * 0.9 },
                        "$run: ${simulation.namedInDirectory} directories name hosts that are cut off"
                            .takeIf { scope != CutScope.REGION && faults.isEmpty() && simulation.namedInDirectory > 0 },
                    )
                }
            }
        }

    @Test
    fun `callers of hosts that are cut off are served in a fleet of 7`() = assertEquals(emptyList(), violations(hostCount = 7, seeds = 5))

    @Test
    fun `callers of hosts that are cut off are served in a fleet of 37`() = assertEquals(emptyList(), violations(hostCount = 37, seeds = 1))

    @Test
    fun `callers of hosts that are cut off are served in a fleet of 300`() =
        assertEquals(emptyList(), violations(hostCount = 300, seeds = 1, scopes = listOf(CutScope.ZONE)))

    @Test
    fun `callers of hosts that are cut off are served while hosts are partitioned, frozen or restarted`() {
        val single = listOf(HostFault.PEERS_CUT, HostFault.FROZEN, HostFault.RESTARTED)
        single.forEach { fault ->
            assertEquals(emptyList(), violations(hostCount = 7, seeds = 3, faults = setOf(fault)), "with $fault")
        }
        assertEquals(emptyList(), violations(hostCount = 37, seeds = 1, faults = single.toSet(), scopes = listOf(CutScope.ZONE)))
    }

    @Test
    fun `requests that hang since the cut began do not keep later ones from being served`() =
        assertEquals(emptyList(), violations(hostCount = 7, seeds = 3, timeoutMs = 7_000))

    @Test
    fun `no host considers itself cut off when the workers are gone`() {
        (firstSeed until firstSeed + 5).forEach { seed ->
            val simulation = CutOffHostSimulation(7, emptySet(), seed, CutScope.HOST, CutMode.REFUSE, areWorkersDown = true).run()
            assertEquals(0, simulation.verdicts, "seed $seed")
            assertTrue(
                simulation.after.served > simulation.after.sent * 0.9,
                "seed $seed: ${simulation.after.served} served after the outage",
            )
        }
    }

    @Test
    fun `without peers that pass requests on the callers are not served`() {
        val off = ReachSettings(evidenceDelayMs = Int.MAX_VALUE.toLong())
        listOf(CutMode.HANG, CutMode.REFUSE).forEach { mode ->
            assertTrue(CutOffHostSimulation(7, emptySet(), firstSeed, CutScope.HOST, mode, off).run().isServedBadly(), "$mode")
        }
    }
}

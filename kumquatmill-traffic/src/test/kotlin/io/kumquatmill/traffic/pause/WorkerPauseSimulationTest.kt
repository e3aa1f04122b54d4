package io.kumquatmill.traffic.pause

import io.kumquatmill.traffic.fleet.HostFault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A worker gets nothing from a host to which it has named a pause. `-Dkumquatmill.seed=N` sets another first seed. */
class WorkerPauseSimulationTest {
    private val firstSeed = System.getProperty("kumquatmill.seed")?.toLong() ?: 1L
    private val fleets = listOf(7 to 160, 37 to 400, 300 to 900)
    private val seeds = mapOf(7 to 4, 37 to 2, 300 to 1)
    private val faultSets = listOf(emptySet(), setOf(HostFault.FROZEN), HostFault.entries.toSet())

    @Test
    fun `no request reaches a worker in a pause that it has named to the host, whatever its entry and the hosts do`() =
        fleets.forEach { (hostCount, requestsPerS) ->
            faultSets.forEach { faults ->
                (firstSeed until firstSeed + seeds.getValue(hostCount)).forEach { seed ->
                    listOf(1, 4).forEach { workerCount ->
                        val simulation = WorkerPauseSimulation(hostCount, faults, seed, requestsPerS, workerCount = workerCount).run()
                        val case = "$hostCount hosts, $workerCount workers, $faults, seed $seed"
                        assertTrue(simulation.pauses >= hostCount, "$case: ${simulation.pauses} pauses")
                        assertEquals(0, simulation.maxInPause, case)
                    }
                }
            }
        }

    @Test
    fun `without the word, more than two requests reach a worker in its pause, where the rule allows two`() =
        fleets.forEach { (hostCount, requestsPerS) ->
            val off = WorkerPauseSimulation(hostCount, emptySet(), firstSeed, requestsPerS, isWordRead = false, workerCount = 1)
            val max = off.run().maxInPause
            println("$hostCount hosts: up to $max requests in a pause without the word")
            assertTrue(max > 2, "$hostCount hosts: $max")
        }

    @Test
    fun `other workers serve what a worker in its pause does not take`() =
        fleets.forEach { (hostCount, requestsPerS) ->
            val simulation = WorkerPauseSimulation(hostCount, emptySet(), firstSeed, requestsPerS).run()
            val all = simulation.served + simulation.refused
            assertTrue(simulation.refused * 100 <= all, "$hostCount hosts: ${simulation.refused} of $all refused")
        }
}

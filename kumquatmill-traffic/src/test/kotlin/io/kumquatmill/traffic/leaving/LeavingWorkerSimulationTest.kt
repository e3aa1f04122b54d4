package io.kumquatmill.traffic.leaving

import io.kumquatmill.traffic.fleet.HostFault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A worker that says that it leaves gets nothing more from hosts that heard it. `-Dkumquatmill.seed=N` sets another first seed. */
class LeavingWorkerSimulationTest {
    private val firstSeed = System.getProperty("kumquatmill.seed")?.toLong() ?: 1L
    private val fleets = listOf(7 to 160, 37 to 400, 300 to 900)
    private val seeds = mapOf(7 to 4, 37 to 2, 300 to 1)
    private val faultSets = listOf(emptySet(), setOf(HostFault.FROZEN), HostFault.entries.toSet())

    private fun simulation(
        fleet: Pair<Int, Int>,
        faults: Set<HostFault> = emptySet(),
        seed: Long = firstSeed,
        isWordRead: Boolean = true,
        isTold: Boolean = true,
        isWrong: Boolean = false,
        workerCount: Int = 4,
    ) = LeavingWorkerSimulation(fleet.first, faults, seed, fleet.second, isWordRead, isTold, isWrong, workerCount).run()

    @Test
    fun `a worker that says that it leaves gets nothing more from a host that heard it, whatever its entry and the hosts do`() =
        fleets.forEach { fleet ->
            faultSets.forEach { faults ->
                (firstSeed until firstSeed + seeds.getValue(fleet.first)).forEach { seed ->
                    assertEquals(0, simulation(fleet, faults, seed).sentAfterWord, "${fleet.first} hosts, $faults, seed $seed")
                }
            }
        }

    @Test
    fun `without the word, hosts send to a worker that leaves as long as its entry says that it is ready`() =
        fleets.forEach { fleet ->
            val sent = simulation(fleet, isWordRead = false).sentAfterWord
            assertTrue(sent > 100, "${fleet.first} hosts: $sent")
        }

    @Test
    fun `hosts of a large fleet that are told in time send next to nothing to a worker that leaves`() =
        fleets.filter { it.first > 7 }.forEach { fleet ->
            val told = simulation(fleet).sentUntold
            val untold = simulation(fleet, isTold = false).sentUntold
            println(
                "${fleet.first} hosts: $told requests to a worker that has left to another host, $untold if hosts tell each other nothing",
            )
            assertTrue(told * 4 <= untold, "${fleet.first} hosts: $told, without reports $untold")
        }

    @Test
    fun `hosts that are told wrongly serve as before, and use the worker again within ten seconds`() =
        fleets.forEach { fleet ->
            val wrong = simulation(fleet, isWrong = true)
            assertEquals(0, wrong.refusedAtOthers, "${fleet.first} hosts: refused of ${wrong.requestsAtOthers}")
            val right = simulation(fleet, isWordRead = false, isTold = false)
            val share = wrong.atWorkerLast.toDouble() / wrong.allLast
            val before = right.atWorkerLast.toDouble() / right.allLast
            assertTrue(share >= before / 2, "${fleet.first} hosts: $share of the requests, $before without the word")
        }

    @Test
    fun `hosts that are told wrongly of the only worker of an upstream still use it`() =
        fleets.forEach { fleet ->
            val wrong = simulation(fleet.first to 60, isWrong = true, workerCount = 1)
            assertTrue(wrong.requestsAtOthers > 500, "${fleet.first} hosts: ${wrong.requestsAtOthers} requests")
            assertEquals(0, wrong.refusedAtOthers, "${fleet.first} hosts: refused of ${wrong.requestsAtOthers}")
        }
}

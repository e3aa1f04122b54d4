package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FairnessTest {
    @Test
    fun `a workspace at five times its share costs the others nothing`() {
        for (seed in 1..5) {
            val calm = simulate(seed, FLOOD_WORKSPACE to 0.8)
            val flooded = simulate(seed, FLOOD_WORKSPACE to 5.0)
            val p99sMs = flooded.p99sMs()
            val cost = p99sMs.max() / calm.p99sMs().max()
            val spread = p99sMs.max() / p99sMs[p99sMs.size / 2]
            assertTrue(cost <= 1.25, "seed $seed: worst p99 against that without the flood: $cost, expected at most 1.25")
            assertTrue(spread <= 1.25, "seed $seed: worst p99 against the median one: $spread, expected at most 1.25")
            assertEquals(setOf(FLOOD_WORKSPACE), flooded.refused.keys, "seed $seed: workspaces with refusals")
        }
    }

    @Test
    fun `with one queue for all the others pay for it`() {
        val calm = simulate(seed = 1, FLOOD_WORKSPACE to 0.8, isFair = false)
        val flooded = simulate(seed = 1, FLOOD_WORKSPACE to 5.0, isFair = false)
        val cost = flooded.p99sMs().max() / calm.p99sMs().max()
        assertTrue(cost > 3.0, "worst p99 against that without the flood: $cost, expected far above 1.25")
        assertTrue(flooded.refused.keys.size > 1, "workspaces with refusals: ${flooded.refused}")
    }

    private class Run(
        val latenciesMs: Map<Int, MutableList<Double>> = (0 until WORKSPACES).associateWith { ArrayList() },
        val refused: MutableMap<Int, Int> = HashMap(),
    ) {
        fun p99sMs(): List<Double> =
            latenciesMs
                .filterKeys { it != FLOOD_WORKSPACE }
                .values
                .map { it.sorted()[it.size * 99 / 100] }
                .sorted()
    }

    /** Runs 28 slots at about 20 ms a request for a minute; each workspace but one asks for 0.8 of its share. */
    private fun simulate(
        seed: Int,
        flood: Pair<Int, Double>,
        isFair: Boolean = true,
    ): Run {
        val random = Random(seed)
        val queue = FairQueue(if (isFair) QueueSettings() else QueueSettings(maxPerWorkspace = 64 * WORKSPACES))
        val run = Run()
        val busyUntilMs = PriorityQueue<Double>()
        val arrivedAtMs = HashMap<RequestId, Pair<Int, Double>>()
        for (nowMs in 0L until 60_000L) {
            for (workspace in 0 until WORKSPACES) {
                val load = if (workspace == flood.first) flood.second else 0.8
                if (random.nextDouble() >= load * SLOTS / SERVICE_MS / WORKSPACES) continue
                val id = RequestId("$workspace-$nowMs")
                arrivedAtMs[id] = workspace to nowMs.toDouble()
                val name = if (isFair) "workspace-$workspace" else "all"
                val request = QueuedRequest(id, WorkspaceId(name), 1, nowMs + 1_000, SERVICE_MS.toLong())
                if (queue.offer(nowMs, request) is QueueOffer.Refused) run.refused.merge(workspace, 1, Int::plus)
            }
            while (busyUntilMs.isNotEmpty() && busyUntilMs.peek() <= nowMs) busyUntilMs.poll()
            val expired =
                queue.dispatch(nowMs) { request ->
                    if (busyUntilMs.size == SLOTS) return@dispatch DispatchStep.NO_SLOTS
                    val serviceMs = SERVICE_MS * (0.9 + 0.2 * random.nextDouble())
                    val (workspace, atMs) = arrivedAtMs.getValue(request.id)
                    run.latenciesMs.getValue(workspace) += nowMs + serviceMs - atMs
                    busyUntilMs.add(nowMs + serviceMs)
                    DispatchStep.DISPATCHED
                }
            expired.forEach { run.refused.merge(arrivedAtMs.getValue(it.request.id).first, 1, Int::plus) }
        }
        return run
    }

    private companion object {
        const val WORKSPACES = 8
        const val FLOOD_WORKSPACE = 0
        const val SLOTS = 28
        const val SERVICE_MS = 20.0
    }
}

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
            val flooded = simulate(seed, floodLoad = 5.0)
            val p99sMs = flooded.p99sMs()
            val cost = p99sMs.max() / simulate(seed, floodLoad = 0.8).p99sMs().max()
            val spread = p99sMs.max() / p99sMs[p99sMs.size / 2]
            assertTrue(cost <= 1.25, "seed $seed: worst p99 against that without the flood: $cost, expected at most 1.25")
            assertTrue(spread <= 1.25, "seed $seed: worst p99 against the median one: $spread, expected at most 1.25")
            assertEquals(setOf(FLOOD), flooded.refused.keys, "seed $seed: workspaces with refusals")
        }
    }

    @Test
    fun `with one queue for all the others pay for it`() {
        val calm = simulate(seed = 1, floodLoad = 0.8, queueName = { "all" })
        val flooded = simulate(seed = 1, floodLoad = 5.0, queueName = { "all" })
        val cost = flooded.p99sMs().max() / calm.p99sMs().max()
        assertTrue(cost > 3.0, "worst p99 against that without the flood: $cost, expected far above 1.25")
        assertTrue(flooded.refused.keys.size > 1, "workspaces with refusals: ${flooded.refused}")
    }

    @Test
    fun `slow requests take no more slots than the share of their workspace`() {
        val costed = simulate(seed = 1, floodLoad = 5.0, floodServiceMs = 200)
        assertEquals(setOf(FLOOD), costed.refused.keys, "workspaces with refusals")
        val counted = simulate(seed = 1, floodLoad = 5.0, floodServiceMs = 200, estimateMs = { SERVICE_MS })
        assertEquals(WORKSPACES, counted.refused.keys.size, "workspaces with refusals when turns are counted in requests")
    }

    private class Run {
        val latenciesMs = List(WORKSPACES) { ArrayList<Double>() }
        val refused = HashMap<Int, Int>()

        fun p99sMs(): List<Double> = latenciesMs.drop(1).map { it.sorted()[it.size * 99 / 100] }.sorted()
    }

    /** Runs 28 slots for a minute; the first workspace asks for [floodLoad] of its share and the others for 0.8. */
    private fun simulate(
        seed: Int,
        floodLoad: Double,
        floodServiceMs: Long = SERVICE_MS,
        estimateMs: (Long) -> Long = { it },
        queueName: (Int) -> String = { "workspace-$it" },
    ): Run {
        val random = Random(seed)
        val queue = FairQueue(QueueSettings(maxPerWorkspace = if (queueName(0) == queueName(1)) 64 * WORKSPACES else 64))
        val run = Run()
        val busyUntilMs = PriorityQueue<Double>()
        val arrivals = HashMap<RequestId, Pair<Int, Long>>()
        for (nowMs in 0L until 60_000L) {
            for (workspace in 0 until WORKSPACES) {
                val load = if (workspace == FLOOD) floodLoad else 0.8
                val serviceMs = if (workspace == FLOOD) floodServiceMs else SERVICE_MS
                if (random.nextDouble() >= load * SLOTS / serviceMs / WORKSPACES) continue
                val id = RequestId("$workspace-$nowMs")
                arrivals[id] = workspace to nowMs
                val request = QueuedRequest(id, WorkspaceId(queueName(workspace)), 1, nowMs + 1_000, estimateMs(serviceMs))
                if (queue.offer(nowMs, request) is QueueOffer.Refused) run.refused.merge(workspace, 1, Int::plus)
            }
            while (busyUntilMs.isNotEmpty() && busyUntilMs.peek() <= nowMs) busyUntilMs.poll()
            val expired =
                queue.dispatch(nowMs) { request ->
                    if (busyUntilMs.size == SLOTS) return@dispatch DispatchStep.NO_SLOTS
                    val (workspace, atMs) = arrivals.getValue(request.id)
                    val serviceMs = (if (workspace == FLOOD) floodServiceMs else SERVICE_MS) * random.nextDouble(0.9, 1.1)
                    run.latenciesMs[workspace] += nowMs + serviceMs - atMs
                    busyUntilMs.add(nowMs + serviceMs)
                    DispatchStep.DISPATCHED
                }
            expired.forEach { run.refused.merge(arrivals.getValue(it.request.id).first, 1, Int::plus) }
        }
        return run
    }

    private companion object {
        const val WORKSPACES = 8
        const val FLOOD = 0
        const val SLOTS = 28
        const val SERVICE_MS = 20L
    }
}

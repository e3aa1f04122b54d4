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
    fun `a workspace at five times its share does not slow down the others`() {
        for (seed in 1..5) {
            val overloaded = simulate(seed, noisyLoad = 5.0)
            val p99sMs = overloaded.p99sMs()
            val p99Ratio = p99sMs.max() / simulate(seed, noisyLoad = 0.8).p99sMs().max()
            val p99Spread = p99sMs.max() / p99sMs[p99sMs.size / 2]
            assertTrue(p99Ratio <= 1.25, "seed $seed: worst p99 relative to that without overload: $p99Ratio, expected at most 1.25")
            assertTrue(p99Spread <= 1.25, "seed $seed: worst p99 relative to the median p99: $p99Spread, expected at most 1.25")
            assertEquals(setOf(NOISY_WORKSPACE), overloaded.refusalsByWorkspace.keys, "seed $seed: workspaces with refusals")
        }
    }

    @Test
    fun `a single queue for all workspaces lets one workspace slow down the others`() {
        val baseline = simulate(seed = 1, noisyLoad = 0.8, queueId = { "all" })
        val overloaded = simulate(seed = 1, noisyLoad = 5.0, queueId = { "all" })
        val p99Ratio = overloaded.p99sMs().max() / baseline.p99sMs().max()
        assertTrue(p99Ratio > 3.0, "worst p99 relative to that without overload: $p99Ratio, expected more than 3")
        assertTrue(overloaded.refusalsByWorkspace.keys.size > 1, "workspaces with refusals: ${overloaded.refusalsByWorkspace}")
    }

    @Test
    fun `slow requests occupy no more slots than the share of their workspace`() {
        val byServiceTime = simulate(seed = 1, noisyLoad = 5.0, noisyServiceMs = 200)
        assertEquals(setOf(NOISY_WORKSPACE), byServiceTime.refusalsByWorkspace.keys, "workspaces with refusals")
        val byRequestCount = simulate(seed = 1, noisyLoad = 5.0, noisyServiceMs = 200, estimateMs = { SERVICE_MS })
        assertEquals(WORKSPACES, byRequestCount.refusalsByWorkspace.keys.size, "workspaces with refusals when all requests cost the same")
    }

    private class SimulationResult {
        val latenciesMs = List(WORKSPACES) { ArrayList<Double>() }
        val refusalsByWorkspace = HashMap<Int, Int>()

        fun p99sMs(): List<Double> = latenciesMs.drop(1).map { it.sorted()[it.size * 99 / 100] }.sorted()
    }

    /** Simulates [SLOTS] slots for a minute. The noisy workspace demands [noisyLoad] times its share, and the others 0.8 times theirs. */
    private fun simulate(
        seed: Int,
        noisyLoad: Double,
        noisyServiceMs: Long = SERVICE_MS,
        estimateMs: (Long) -> Long = { it },
        queueId: (Int) -> String = { "workspace-$it" },
    ): SimulationResult {
        val random = Random(seed)
        val queue = FairQueue(FairQueueSettings(maxPerWorkspace = if (queueId(0) == queueId(1)) 64 * WORKSPACES else 64))
        val result = SimulationResult()
        val busyUntilMs = PriorityQueue<Double>()
        val arrivals = HashMap<RequestId, Pair<Int, Long>>()
        for (nowMs in 0L until 60_000L) {
            for (workspace in 0 until WORKSPACES) {
                val load = if (workspace == NOISY_WORKSPACE) noisyLoad else 0.8
                val serviceMs = if (workspace == NOISY_WORKSPACE) noisyServiceMs else SERVICE_MS
                if (random.nextDouble() >= load * SLOTS / serviceMs / WORKSPACES) continue
                val id = RequestId("$workspace-$nowMs")
                arrivals[id] = workspace to nowMs
                val request = QueuedRequest(id, WorkspaceId(queueId(workspace)), 1, nowMs + 1_000, estimateMs(serviceMs))
                if (queue.offer(nowMs, request) is QueueOfferResult.Refused) result.refusalsByWorkspace.merge(workspace, 1, Int::plus)
            }
            while (busyUntilMs.isNotEmpty() && busyUntilMs.peek() <= nowMs) busyUntilMs.poll()
            val expired =
                queue.dispatch(nowMs) { request ->
                    if (busyUntilMs.size == SLOTS) return@dispatch DispatchStatus.NO_SLOTS
                    val (workspace, atMs) = arrivals.getValue(request.id)
                    val serviceMs = (if (workspace == NOISY_WORKSPACE) noisyServiceMs else SERVICE_MS) * random.nextDouble(0.9, 1.1)
                    result.latenciesMs[workspace] += nowMs + serviceMs - atMs
                    busyUntilMs.add(nowMs + serviceMs)
                    DispatchStatus.DISPATCHED
                }
            expired.forEach { result.refusalsByWorkspace.merge(arrivals.getValue(it.request.id).first, 1, Int::plus) }
        }
        return result
    }

    private companion object {
        const val WORKSPACES = 8
        const val NOISY_WORKSPACE = 0
        const val SLOTS = 28
        const val SERVICE_MS = 20L
    }
}

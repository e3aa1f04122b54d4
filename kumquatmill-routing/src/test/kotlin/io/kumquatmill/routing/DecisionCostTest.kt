package io.kumquatmill.routing

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.health.AttemptSample
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.model.Route
import io.kumquatmill.routing.queue.DispatchStep
import io.kumquatmill.routing.queue.FairQueue
import io.kumquatmill.routing.queue.QueueSettings
import io.kumquatmill.routing.queue.QueuedRequest
import io.kumquatmill.routing.request.RequestState
import io.kumquatmill.routing.retry.RetryBudget
import io.kumquatmill.routing.retry.RetryPolicy
import io.kumquatmill.routing.worker.WorkerChoice
import io.kumquatmill.routing.worker.WorkerQuery
import io.kumquatmill.routing.worker.WorkerSelector
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class DecisionCostTest {
    private val query = WorkerQuery(testUpstream, zapad, AvailabilityZoneId("zapad-0"))
    private val route = Route(RouteId("status"), "/status", setOf("GET"), testUpstream, isIdempotent = true)
    private val notRun = Outcome.NotRun(RefusalReason.NO_CAPACITY, 100)

    @Test
    fun `queue, selection and retry take less than ten microseconds however many workspaces there are`() {
        val p99sNs = listOf(8, 1_000, 100_000).associateWith { p99Ns(it) }
        println("decision cost: p99 in ns by workspaces $p99sNs")
        assertTrue(p99sNs.values.max() < 10_000, "p99 in ns by workspaces: $p99sNs, expected below 10000")
    }

    private fun p99Ns(workspaceCount: Int): Long {
        val random = Random(1)
        val pool = WorkerPool(testWorkers(28), random)
        val selector = WorkerSelector(pool, random)
        val queue = FairQueue(QueueSettings(maxTotal = 2 * WAITING))
        val budget = RetryBudget()
        val policy = RetryPolicy(budget)
        val workspaces = List(workspaceCount) { WorkspaceId("workspace-$it") }
        val samplesNs = LongArray(ROUNDS)
        for (round in 0 until ROUNDS + WAITING) {
            val nowMs = round / 100L
            val workspace = workspaces[random.nextInt(workspaceCount)]
            val id = RequestId("r-$round")
            val state = RequestState(id, workspace, route, nowMs, nowMs + 60_000)
            val startedNs = System.nanoTime()
            queue.offer(nowMs, QueuedRequest(id, workspace, 1, state.deadlineAtMs, 10))
            if (round < WAITING) continue
            var isFree = true
            queue.dispatch(nowMs) { if (isFree) DispatchStep.DISPATCHED.also { isFree = false } else DispatchStep.NO_SLOTS }
            val worker = (selector.select(nowMs, query) { true } as WorkerChoice.Chosen).worker.id
            pool.attemptStarted(worker)
            budget.deposit(nowMs, workspace, zapad)
            policy.decide(nowMs, state.withAttempt(worker), zapad, notRun)
            pool.attemptEnded(nowMs, worker, AttemptSample.Served(10))
            samplesNs[round - WAITING] = System.nanoTime() - startedNs
        }
        return samplesNs.sorted()[ROUNDS * 99 / 100]
    }

    private companion object {
        const val WAITING = 400
        const val ROUNDS = 100_000
    }
}

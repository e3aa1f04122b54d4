package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fleet.ControlFleet
import io.kumquatmill.bench.fleet.FleetPlan
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.LoadReport
import io.kumquatmill.node.event.NodeEvent
import org.HdrHistogram.Histogram
import kotlin.random.Random

/** Measures the decisions of one host: a request from its arrival to its answer, at several numbers of workspaces and workers. */
internal class DecisionCost(
    private val workspaceCounts: List<Int> = Sizes.workspaceCounts,
    private val workerCounts: List<Int> = Sizes.workerCounts,
) {
    private val byWorkspaces = collector("workspaces", Sizes.today.workspaces, Sizes.target.workspaces)
    private val byWorkers = collector("workers", Sizes.today.workers, Sizes.target.workers)

    fun measure(): List<Series> {
        measureAt(FleetPlan(hosts = 1, ratePerS = RATE_PER_S), 1, collector("warm-up", 1, 1))
        workspaceCounts.forEach { measureAt(FleetPlan(hosts = 1, workspaces = it, ratePerS = RATE_PER_S), it, byWorkspaces) }
        workerCounts.forEach { measureAt(FleetPlan(hosts = 1, workers = it, ratePerS = RATE_PER_S), it, byWorkers) }
        return byWorkspaces.series() + byWorkers.series()
    }

    private fun collector(
        dimension: String,
        today: Int,
        target: Int,
    ) = SeriesCollector("entry proxy", dimension, today.toDouble(), target.toDouble())

    private fun measureAt(
        plan: FleetPlan,
        size: Int,
        into: SeriesCollector,
    ) {
        val stateBytes = retainedBytes { ControlFleet(plan).also { measureAt(it, plan, size, into) } }
        into.add("state of a whole host", "bytes", size, stateBytes)
    }

    private fun measureAt(
        fleet: ControlFleet,
        plan: FleetPlan,
        size: Int,
        into: SeriesCollector,
    ) {
        fleet.start()
        val calls = DecisionCalls(fleet, plan)
        calls.run(WARM_UP_CALLS)
        val histogram = calls.run(MEASURED_CALLS)
        into.add("decision and end of an attempt, p50", "us", size, histogram.getValueAtPercentile(MEDIAN) / NS_PER_US)
        into.add("decision and end of an attempt, p99", "us", size, histogram.getValueAtPercentile(HIGH) / NS_PER_US)
        fleet.reset()
        fleet.run(STEADY_MS)
        into.add("tick", "us", size, fleet.tickNs / NS_PER_US / (STEADY_MS / NodeEvent.TICK_INTERVAL_MS))
        into.add("load report of a worker", "us", size, loadReportUs(fleet, plan))
    }

    private fun loadReportUs(
        fleet: ControlFleet,
        plan: FleetPlan,
    ): Double {
        val workers = plan.topology.workers
        val startedNs = System.nanoTime()
        repeat(REPORT_ROUNDS) {
            workers.forEach { fleet.node(0).handle(fleet.time.nowMs, NodeEvent.LoadReported(it.id, REPORT)) }
        }
        return (System.nanoTime() - startedNs) / NS_PER_US / REPORT_ROUNDS / workers.size
    }

    companion object {
        private val REPORT = LoadReport(busySlots = 1, isHealthy = true, isDraining = false)
        private const val RATE_PER_S = 100_000.0
        private const val WARM_UP_CALLS = 60_000
        private const val MEASURED_CALLS = 40_000
        private const val REPORT_ROUNDS = 20
        private const val STEADY_MS = 5_000L
        private const val MEDIAN = 50.0
        private const val HIGH = 99.0
        private const val NS_PER_US = 1_000.0
    }
}

/** Requests of random workspaces, one at a time, each answered at once. */
internal class DecisionCalls(
    private val fleet: ControlFleet,
    private val plan: FleetPlan,
) {
    private val random = Random(1)
    private val keys = (0 until plan.workspaces).map(FleetPlan::keyOf)
    private var lastRequest = 0L

    /** Sends [count] requests; returns the time of both decisions of each, in nanoseconds. */
    fun run(count: Int): Histogram {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        repeat(count) { index ->
            if (index % CALLS_PER_MS == 0) fleet.run(1)
            histogram.recordValue(call())
        }
        return histogram
    }

    private fun call(): Long {
        lastRequest += 1
        val arrival =
            NodeEvent.RequestArrived(
                RequestId("r$lastRequest"),
                keys.random(random),
                FleetPlan.METHOD,
                FleetPlan.PATH,
                BODY_BYTES,
            )
        val node = fleet.node(0)
        val startedNs = System.nanoTime()
        val effects = node.handle(fleet.time.nowMs, arrival)
        val forward = effects.firstNotNullOfOrNull { it as? NodeEffect.Forward }
        checkNotNull(forward) { "a request was not forwarded but led to $effects" }
        node.handle(fleet.time.nowMs, NodeEvent.AttemptEnded(forward.attempt, ANSWER))
        return System.nanoTime() - startedNs
    }

    private companion object {
        val ANSWER = AttemptResult.Answered(status = 200, bodyBytes = 4_000)
        const val SIGNIFICANT_DIGITS = 3
        const val CALLS_PER_MS = 10
        const val BODY_BYTES = 1_000L
    }
}

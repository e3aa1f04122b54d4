package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fleet.FleetSpec
import io.kumquatmill.bench.fleet.SimulatedFleet
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.LoadReport
import io.kumquatmill.node.event.NodeEvent
import org.HdrHistogram.Histogram
import kotlin.random.Random

/** Measures the decisions of one host on a request, from arrival to response, for several numbers of workspaces and workers. */
internal class DecisionCost(
    private val workspaceCounts: List<Int> = Sizes.workspaceCounts,
    private val workerCounts: List<Int> = Sizes.workerCounts,
) {
    private val byWorkspaces = collector("workspaces", Sizes.today.workspaces, Sizes.target.workspaces)
    private val byWorkers = collector("workers", Sizes.today.workers, Sizes.target.workers)

    fun measure(): List<Series> {
        measureAt(FleetSpec(hosts = 1, ratePerS = RATE_PER_S), 1, collector("warm-up", 1, 1))
        workspaceCounts.forEach { measureAt(FleetSpec(hosts = 1, workspaces = it, ratePerS = RATE_PER_S), it, byWorkspaces) }
        workerCounts.forEach { measureAt(FleetSpec(hosts = 1, workers = it, ratePerS = RATE_PER_S), it, byWorkers) }
        return byWorkspaces.series() + byWorkers.series()
    }

    private fun collector(
        dimension: String,
        today: Int,
        target: Int,
    ) = SeriesCollector("entry proxy", dimension, today.toDouble(), target.toDouble())

    private fun measureAt(
        spec: FleetSpec,
        size: Int,
        destination: SeriesCollector,
    ) {
        val stateBytes = retainedBytes { SimulatedFleet(spec).also { measureAt(it, spec, size, destination) } }
        destination.add("state of a whole host", "bytes", size, stateBytes)
    }

    private fun measureAt(
        fleet: SimulatedFleet,
        spec: FleetSpec,
        size: Int,
        destination: SeriesCollector,
    ) {
        fleet.start()
        val workload = DecisionWorkload(fleet, spec)
        workload.run(WARM_UP_CALLS)
        val histogram = workload.run(MEASURED_CALLS)
        destination.add("decision and end of an attempt, p50", "us", size, histogram.getValueAtPercentile(P50) / NS_PER_US)
        destination.add("decision and end of an attempt, p99", "us", size, histogram.getValueAtPercentile(P99) / NS_PER_US)
        fleet.reset()
        fleet.run(STEADY_MS)
        destination.add("tick", "us", size, fleet.tickNs / NS_PER_US / (STEADY_MS / NodeEvent.TICK_INTERVAL_MS))
        destination.add("load report of a worker", "us", size, loadReportUs(fleet, spec))
    }

    private fun loadReportUs(
        fleet: SimulatedFleet,
        spec: FleetSpec,
    ): Double {
        val workers = spec.topology.workers
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
        private const val P50 = 50.0
        private const val P99 = 99.0
        private const val NS_PER_US = 1_000.0
    }
}

/** Sends requests of random workspaces, one at a time; each gets its response immediately. */
internal class DecisionWorkload(
    private val fleet: SimulatedFleet,
    private val spec: FleetSpec,
) {
    private val random = Random(1)
    private val keys = (0 until spec.workspaces).map(FleetSpec::keyOf)
    private var lastRequest = 0L

    /** Sends [count] requests; returns the time taken by the two decisions on each, in nanoseconds. */
    fun run(count: Int): Histogram {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        repeat(count) { index ->
            if (index % CALLS_PER_MS == 0) fleet.run(1)
            histogram.recordValue(measureRequest())
        }
        return histogram
    }

    private fun measureRequest(): Long {
        lastRequest += 1
        val arrival =
            NodeEvent.RequestArrived(
                RequestId("r$lastRequest"),
                keys.random(random),
                FleetSpec.METHOD,
                FleetSpec.PATH,
                BODY_BYTES,
            )
        val node = fleet.node(0)
        val startedNs = System.nanoTime()
        val effects = node.handle(fleet.time.nowMs, arrival)
        val forward = effects.firstNotNullOfOrNull { it as? NodeEffect.Forward }
        checkNotNull(forward) { "the request was not forwarded: expected a Forward effect, found $effects" }
        node.handle(fleet.time.nowMs, NodeEvent.AttemptEnded(forward.attempt, RESPONSE))
        return System.nanoTime() - startedNs
    }

    private companion object {
        val RESPONSE = AttemptResult.Answered(status = 200, bodyBytes = 4_000)
        const val SIGNIFICANT_DIGITS = 3
        const val CALLS_PER_MS = 10
        const val BODY_BYTES = 1_000L
    }
}

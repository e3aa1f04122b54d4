package io.kumquatmill.bench.capacity

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Upstream
import io.kumquatmill.traffic.model.WeightedUpstream
import io.kumquatmill.traffic.model.WorkerEntry

/** Measures the choice of a worker for a request that has just arrived, for several numbers of workers of its upstream. */
internal class PlacementCost(
    private val workerCounts: List<Int> = Sizes.upstreamWorkerCounts,
) {
    private val upstream = UpstreamId("catalogue")
    private val self = EntryHostInfo("h1", "10.0.0.1", "region-0", "zone-0")
    private val route =
        TrafficRoute(
            id = RouteId("pages"),
            host = "shop.example",
            pathPrefix = "/pages/",
            weightedUpstreams = listOf(WeightedUpstream(upstream, 1.0)),
            isIdempotent = true,
            isPublic = true,
            hasAffinity = true,
            timeoutMs = null,
            targetLatencyMs = 1_500,
            maxAttempts = 2,
            priority = 0,
            homeRegions = emptySet(),
        )

    fun measure(): List<Series> {
        measureAt(workerCounts.first(), newCollector())
        return newCollector().also { collector -> workerCounts.forEach { measureAt(it, collector) } }.series()
    }

    private fun newCollector() = SeriesCollector("placement", "workers", Sizes.today.workers.toDouble(), Sizes.target.workers.toDouble())

    private fun measureAt(
        workers: Int,
        collector: SeriesCollector,
    ) {
        val controller = controller(workers)
        run(controller, WARM_UP_CALLS) { "warm-up-$it" }
        collector.add("choice, key not seen before", "us", workers, run(controller, CALLS) { "new-$it" })
        run(controller, KEYS) { "key-${it % KEYS}" }
        collector.add("choice, repeated key", "us", workers, run(controller, CALLS) { "key-${it % KEYS}" })
    }

    /** Starts [calls] requests with the keys of [keyOf], each of which ends at once; returns the mean time of a start in microseconds. */
    private fun run(
        controller: TrafficController,
        calls: Int,
        keyOf: (Int) -> String,
    ): Double {
        val resolved = controller.resolve(route.host, "/pages/1", null) as RouteResolution.Resolved
        var elapsedNs = 0L
        repeat(calls) { call ->
            val key = keyOf(call)
            val nowMs = call.toLong() / CALLS_PER_MS
            val startedNs = System.nanoTime()
            val (request, _) = controller.begin(nowMs, resolved, key, key, DEADLINE_MS, RequestFingerprint(call.toLong()))
            elapsedNs += System.nanoTime() - startedNs
            if (request != null) controller.abandon(nowMs, request, isWorkerSlow = false)
        }
        return elapsedNs / NS_PER_US / calls
    }

    private fun controller(workers: Int): TrafficController {
        val entries = (0 until workers).map(::worker)
        val upstreams = mapOf(upstream to Upstream(upstream, maxConnections = 4_000, coldMs = 0, coldRatePerS = 0.0))
        val desired = MeasuredController.emptyState.copy(routes = listOf(route), upstreams = upstreams)
        return MeasuredController.create(self).apply { update(0, SteeringState(desired, entries.associateBy { it.id }, emptySet())) }
    }

    private fun worker(index: Int) =
        WorkerEntry(
            id = WorkerId("worker-$index"),
            upstream = upstream,
            address = HostAddress("10.0.0.2", FIRST_PORT + index),
            availabilityZone = AvailabilityZoneId(MeasuredController.zone(index)),
            slots = 9,
            isDraining = false,
            warmUpRemainingMs = 0,
            startedAtMs = 1,
            revision = 1,
        )

    private companion object {
        const val WARM_UP_CALLS = 40_000
        const val CALLS = 40_000
        const val KEYS = 300
        const val CALLS_PER_MS = 10
        const val DEADLINE_MS = 12_000L
        const val FIRST_PORT = 9_000
        const val NS_PER_US = 1_000.0
    }
}

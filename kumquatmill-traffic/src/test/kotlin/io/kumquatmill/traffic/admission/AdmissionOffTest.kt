package io.kumquatmill.traffic.admission

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.traffic.catalogueUpstream
import io.kumquatmill.traffic.placement.Placement
import io.kumquatmill.traffic.placement.PlacementChoice
import io.kumquatmill.traffic.placement.PlacementQuery
import io.kumquatmill.traffic.placement.TrackedWorker
import io.kumquatmill.traffic.regionByZone
import io.kumquatmill.traffic.route
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker
import io.kumquatmill.traffic.workerRegistry
import kotlin.math.max
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against decisions that differ from those by target latency where admission by cost is off. */
class AdmissionOffTest {
    private val random = Random(7)
    private val registry = workerRegistry()
    private val placement = Placement(registry, regionByZone, AvailabilityZoneId("east-a"))

    private fun randomQuery() =
        PlacementQuery(
            route = route().copy(id = RouteId("r${random.nextLong()}"), targetLatencyMs = random.nextLong(100, 4_000)),
            upstream = catalogueUpstream,
            affinityHash = random.nextLong(),
            hasAffinityKey = true,
            requestHash = random.nextLong(),
            isCallerRetry = random.nextInt(4) == 0,
            homeRegions = null,
            triedWorkers = emptySet(),
            timeLeftMs = random.nextLong(50, 8_000),
            priorityRank = random.nextInt(5),
        )

    /** The decision as it was before admission by cost, for a worker that has the object cached. */
    private fun byTarget(
        nowMs: Long,
        query: PlacementQuery,
        worker: TrackedWorker,
    ): PlacementChoice {
        val waitMs = worker.expectedWaitMs(nowMs)
        val targetMs = query.route.targetLatencyMs.toDouble()
        val serviceMs = targetMs * 0.4 * worker.slowdown(nowMs)
        val fraction = if (query.isCallerRetry) 0.9 else listOf(0.9, 0.7, 0.5)[query.priorityRank.coerceAtMost(2)]
        if (waitMs <= max(0.0, targetMs - serviceMs) * fraction && waitMs <= query.timeLeftMs) {
            return PlacementChoice.Chosen(worker, waitMs, serviceMs)
        }
        val spread = (combineHashes(query.requestHash, 0x2545F4914F6CDD1DL) ushr 11) / 9.007199254740992E15
        return PlacementChoice.NoCapacity((max(300.0, waitMs) * (1 + spread)).toLong())
    }

    @Test
    fun `decisions are those by target latency over random inputs`() {
        var refused = 0
        val tests = 5_000
        repeat(tests) { index ->
            val nowMs = index * 10L
            registry.update(nowMs, steeringState(listOf(worker("w$index"))), listOf("h1"))
            val worker = registry.workersOf(catalogueUpstream).single()
            worker.onAnswered(nowMs, random.nextDouble(0.5, 3.0), random.nextDouble(50.0, 2_000.0))
            worker.onLoadReport(nowMs, worker.entry.slots + random.nextLong(30))
            val query = randomQuery()
            val expected = byTarget(nowMs, query, worker)
            if (expected is PlacementChoice.NoCapacity) refused++
            assertEquals(expected, placement.choose(nowMs, query), "input $index: $query")
        }
        assertTrue(refused in tests / 10..tests * 9 / 10, "expected both decisions among the inputs, found $refused refusals of $tests")
    }
}

package io.kumquatmill.routing.region

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.model.Link
import io.kumquatmill.routing.model.ShiftCap
import io.kumquatmill.routing.shift.ShiftRamps
import io.kumquatmill.routing.stred
import io.kumquatmill.routing.testUpstream
import io.kumquatmill.routing.testWorkers
import io.kumquatmill.routing.worker.WorkerSelector
import io.kumquatmill.routing.zapad
import kotlin.random.Random

/** Entry hosts in zapad, each with an equal part of the cap, and workers in zapad and stred. */
class RegionFleet(
    hostCount: Int = 1,
    cap: ShiftCap = ShiftCap(requestsPerS = 20.0, intervalMs = 1_000),
    partOfCap: Double = 1.0 / hostCount,
) {
    private val workers = testWorkers(9, zapad) + testWorkers(9, stred, prefix = "stred")
    val downRegions = HashSet<RegionId>()
    val servedAtMs = HashMap<RegionId, MutableList<Long>>()
    var isLinkFull = false
    var released = 0

    private val choosers =
        List(hostCount) { host ->
            val random = Random(host)
            val pool = WorkerPool(workers, random)
            val ramps = ShiftRamps(cap) { _, _ -> partOfCap }
            val links = listOf(Link(zapad, stred, 280.0), Link(stred, zapad, 280.0))
            RegionChooser(zapad, AvailabilityZoneId("zapad-0"), links, pool, WorkerSelector(pool, random), ramps)
        }

    fun request(
        nowMs: Long,
        host: Int = 0,
        origin: RegionId = zapad,
    ): RegionChoice {
        val choice = choosers[host].choose(nowMs, RegionQuery(testUpstream, 200, 5_000, origin), grants)
        if (choice is RegionChoice.Chosen) servedAtMs.getOrPut(choice.worker.region) { ArrayList() } += nowMs
        return choice
    }

    /** Returns the changes of the requests served in [region] from an interval to the next, at all offsets. */
    fun changes(region: RegionId): List<Int> {
        val served = IntArray(TOTAL_MS)
        servedAtMs.getValue(region).forEach { served[it.toInt()] += 1 }
        val sums = served.runningFold(0, Int::plus)
        return (1_000..TOTAL_MS - 1_000).map { mid -> sums[mid + 1_000] - 2 * sums[mid] + sums[mid - 1_000] }
    }

    private val grants =
        DispatchGrants(
            trySlot = { id -> workers.first { it.id == id }.region !in downRegions },
            releaseSlot = { released += 1 },
            tryLink = { !isLinkFull },
        )

    companion object {
        const val TOTAL_MS: Int = 60_000
    }
}

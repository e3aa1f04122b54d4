package io.kumquatmill.routing.region

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.model.Link
import io.kumquatmill.routing.model.ShiftCap
import io.kumquatmill.routing.shift.ShiftLimiters
import io.kumquatmill.routing.stred
import io.kumquatmill.routing.testUpstream
import io.kumquatmill.routing.testWorkers
import io.kumquatmill.routing.worker.WorkerSelector
import io.kumquatmill.routing.zapad
import kotlin.random.Random

/** Region selectors of [hostCount] entry hosts in zapad, which by default split the shift cap equally, with workers in both regions. */
class RegionSelectorFixture(
    hostCount: Int = 1,
    cap: ShiftCap = ShiftCap(requestsPerS = 20.0, intervalMs = 1_000),
    capFraction: Double = 1.0 / hostCount,
) {
    private val workers = testWorkers(9, zapad) + testWorkers(9, stred, prefix = "stred")
    val downRegions = HashSet<RegionId>()
    val servedAtMsByRegion = HashMap<RegionId, MutableList<Long>>()
    var isLinkFull = false
    var releasedSlots = 0

    private val regionSelectors =
        List(hostCount) { host ->
            val random = Random(host)
            val pool = WorkerPool(workers, random)
            val shiftLimiters = ShiftLimiters(cap) { _, _ -> capFraction }
            val links = listOf(Link(zapad, stred, 280.0), Link(stred, zapad, 280.0))
            RegionSelector(zapad, AvailabilityZoneId("zapad-0"), links, pool, WorkerSelector(pool, random), shiftLimiters)
        }

    fun request(
        nowMs: Long,
        host: Int = 0,
        origin: RegionId = zapad,
    ): RegionChoice {
        val choice = regionSelectors[host].select(nowMs, RegionQuery(testUpstream, 200, 5_000, origin), resources)
        if (choice is RegionChoice.Chosen) servedAtMsByRegion.getOrPut(choice.worker.region) { ArrayList() } += nowMs
        return choice
    }

    /** Returns by how much the requests served in [region] grow from one second to the next, at every offset in ms. */
    fun growthBetweenIntervals(region: RegionId): List<Int> {
        val served = IntArray(TOTAL_MS)
        servedAtMsByRegion.getValue(region).forEach { served[it.toInt()] += 1 }
        val sums = served.runningFold(0, Int::plus)
        return (1_000..TOTAL_MS - 1_000).map { mid -> sums[mid + 1_000] - 2 * sums[mid] + sums[mid - 1_000] }
    }

    private val resources =
        DispatchResources(
            tryAcquireSlot = { id -> workers.first { it.id == id }.region !in downRegions },
            releaseSlot = { releasedSlots += 1 },
            tryReserveLink = { !isLinkFull },
        )

    companion object {
        const val TOTAL_MS: Int = 60_000
    }
}

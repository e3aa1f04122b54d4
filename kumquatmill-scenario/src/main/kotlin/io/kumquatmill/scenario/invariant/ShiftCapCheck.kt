package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.routing.model.ShiftCap
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "shift-cap"
private const val MS_PER_S = 1_000.0

/**
 * Traffic from one region to another grows by at most the cap in each interval, over all hosts together.
 *
 * An interval may contain as many requests as the busiest of the preceding [ShiftCap.lookbackIntervals], plus the cap.
 */
fun shiftCap(): Invariant =
    Invariant(NAME) { history ->
        val cap = history.topology.shiftCap
        val allowedGrowth = cap.requestsPerS * cap.intervalMs / MS_PER_S
        history.shiftsByInterval().flatMap { (regions, counts) ->
            counts.entries.mapNotNull { (interval, count) ->
                val before = (1..cap.lookbackIntervals).maxOf { counts[interval - it] ?: 0 }
                if (count <= before + allowedGrowth) return@mapNotNull null
                val detail = "${regions.first} to ${regions.second} grew from $before to $count requests in an interval"
                Violation(NAME, interval * cap.intervalMs, "$detail, expected at most ${before + allowedGrowth}")
            }
        }
    }

private fun History.shiftsByInterval(): Map<Pair<RegionId, RegionId>, Map<Long, Int>> =
    observationsOf<Observation.AttemptArrived>()
        .filter { it.hostRegion != it.workerRegion }
        .groupBy { it.hostRegion to it.workerRegion }
        .mapValues { (_, arrivals) -> arrivals.groupingBy { it.atMs / topology.shiftCap.intervalMs }.eachCount() }

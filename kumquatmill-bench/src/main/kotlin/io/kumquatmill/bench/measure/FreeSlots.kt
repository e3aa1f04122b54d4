package io.kumquatmill.bench.measure

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

/** Returns the minimum number of free worker slots in each region over the whole [history]. */
internal fun leastFreeSlots(history: History): Map<String, Int> {
    val slots = FreeSlots(history)
    history.observations.forEach(slots::observe)
    return slots.minFree.toSortedMap()
}

private class FreeSlots(
    history: History,
) {
    private val regionOf = history.topology.workers.associate { it.id to it.region.value }
    private val free =
        history.topology.workers
            .groupBy { it.region.value }
            .mapValues { (_, workers) -> workers.sumOf { it.slots } }
            .toMutableMap()
    private val activeRuns = HashSet<Pair<RequestId, WorkerId>>()
    val minFree = HashMap(free)

    fun observe(observation: Observation) {
        when (observation) {
            is Observation.RunStarted -> start(observation)
            is Observation.RunEnded -> end(observation)
            else -> Unit
        }
    }

    private fun start(run: Observation.RunStarted) {
        if (!activeRuns.add(run.request to run.worker)) return
        val region = regionOf.getValue(run.worker)
        val remaining = free.getValue(region) - 1
        free[region] = remaining
        minFree.merge(region, remaining, ::minOf)
    }

    private fun end(run: Observation.RunEnded) {
        if (!activeRuns.remove(run.request to run.worker)) return
        free.merge(regionOf.getValue(run.worker), 1, Int::plus)
    }
}

package io.kumquatmill.routing.worker

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.health.WorkerGroup
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.health.WorkerState
import io.kumquatmill.routing.model.Worker
import kotlin.random.Random

/**
 * Chooses the better of two random workers that have a free slot for this host.
 *
 * The host's own requests in flight decide; load reports and latency only lower a worker's weight. [heldSlots] gives
 * the slots of a worker that this host may use now; cold workers get a growing part of them.
 */
class WorkerSelector(
    private val pool: WorkerPool,
    private val random: Random,
    private val heldSlots: (Worker) -> Int = { it.slots },
    private val settings: SelectionSettings = SelectionSettings(),
) {
    private val candidates = ArrayList<WorkerState>()

    /** Takes a slot of the chosen worker with [trySlot] and returns the worker. */
    fun select(
        nowMs: Long,
        query: WorkerQuery,
        trySlot: (WorkerId) -> Boolean,
    ): WorkerChoice {
        val group = pool.group(query.upstream, query.region) ?: return WorkerChoice.NoWorker
        val hasUsableWorker = collectCandidates(nowMs, group, query)
        while (candidates.isNotEmpty()) {
            val index = betterOfTwo(nowMs, group, query)
            val state = candidates[index]
            if (trySlot(state.worker.id)) return WorkerChoice.Chosen(state.worker)
            removeCandidate(index)
        }
        return if (hasUsableWorker) WorkerChoice.NoSlot else WorkerChoice.NoWorker
    }

    private fun collectCandidates(
        nowMs: Long,
        group: WorkerGroup,
        query: WorkerQuery,
    ): Boolean {
        candidates.clear()
        var hasUsableWorker = false
        for (state in group.states) {
            if (state.isDraining || state.worker.id in query.excluded) continue
            if (!isOut(nowMs, state)) hasUsableWorker = true
            val usableSlots = state.usableSlots(nowMs, heldSlots(state.worker), pool.settings)
            if (state.inFlight < usableSlots) candidates.add(state)
        }
        return hasUsableWorker
    }

    private fun isOut(
        nowMs: Long,
        state: WorkerState,
    ): Boolean = state.isEjected && nowMs < state.ejectedUntilMs

    private fun betterOfTwo(
        nowMs: Long,
        group: WorkerGroup,
        query: WorkerQuery,
    ): Int {
        val first = random.nextInt(candidates.size)
        if (candidates.size == 1) return first
        val offset = 1 + random.nextInt(candidates.size - 1)
        val second = (first + offset) % candidates.size
        val firstCost = cost(nowMs, group, candidates[first], query)
        val secondCost = cost(nowMs, group, candidates[second], query)
        return if (firstCost <= secondCost) first else second
    }

    private fun cost(
        nowMs: Long,
        group: WorkerGroup,
        state: WorkerState,
        query: WorkerQuery,
    ): Double {
        val occupancy = (state.inFlight + 1.0) / state.worker.slots
        val distance = if (state.worker.availabilityZone == query.nearZone) 1.0 else settings.otherZoneCost
        val failures = 1.0 + minOf(state.consecutiveFailures, MAX_COUNTED_FAILURES)
        return occupancy * distance * failures * group.slowness(nowMs, state) / weight(nowMs, state)
    }

    private fun weight(
        nowMs: Long,
        state: WorkerState,
    ): Double {
        val load = state.load ?: return 1.0
        if (nowMs - load.reportedAtMs > pool.settings.reportMaxAgeMs) return 1.0
        if (!load.isHealthy) return settings.minReportWeight
        val busyPart = (load.busySlots.toDouble() / state.worker.slots).coerceIn(0.0, 1.0)
        return 1.0 - (1.0 - settings.minReportWeight) * busyPart
    }

    private fun removeCandidate(index: Int) {
        candidates[index] = candidates.last()
        candidates.removeAt(candidates.lastIndex)
    }

    private companion object {
        const val MAX_COUNTED_FAILURES = 3
    }
}

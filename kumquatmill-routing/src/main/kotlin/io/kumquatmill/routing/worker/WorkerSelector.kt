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
 * the slots of a worker that this host may use now; cold workers get a growing part of them. When all are in use, a slot
 * of one or two full workers is asked for all the same, so that the owner of the slots learns of the shortage.
 */
class WorkerSelector(
    private val pool: WorkerPool,
    private val random: Random,
    private val heldSlots: (Worker) -> Int = { it.slots },
    private val settings: SelectionSettings = SelectionSettings(),
) {
    private val candidates = ArrayList<WorkerState>()
    private val fullWorkers = ArrayList<WorkerState>()

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
        return askFullWorkers(trySlot) ?: if (hasUsableWorker) WorkerChoice.NoSlot else WorkerChoice.NoWorker
    }

    private fun askFullWorkers(trySlot: (WorkerId) -> Boolean): WorkerChoice.Chosen? {
        repeat(minOf(MAX_SHORTAGE_ASKS, fullWorkers.size)) {
            val worker = fullWorkers.removeAt(random.nextInt(fullWorkers.size)).worker
            if (trySlot(worker.id)) return WorkerChoice.Chosen(worker)
        }
        return null
    }

    private fun collectCandidates(
        nowMs: Long,
        group: WorkerGroup,
        query: WorkerQuery,
    ): Boolean {
        candidates.clear()
        fullWorkers.clear()
        var hasUsableWorker = false
        for (state in group.states) {
            if (state.isDraining || state.worker.id in query.excluded) continue
            if (!isOut(nowMs, state)) hasUsableWorker = true
            val usableSlots = state.usableSlots(nowMs, heldSlots(state.worker), pool.settings)
            if (state.inFlight < usableSlots) {
                candidates.add(state)
            } else if (mayAskForMore(state)) {
                fullWorkers.add(state)
            }
        }
        return hasUsableWorker
    }

    private fun mayAskForMore(state: WorkerState): Boolean = !state.isRestricted && state.inFlight < state.worker.slots

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
        const val MAX_SHORTAGE_ASKS = 2
    }
}

package io.kumquatmill.routing.worker

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.health.WorkerGroup
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.health.WorkerState
import io.kumquatmill.routing.model.Worker
import kotlin.random.Random

/**
 * Selects a worker by the power of two random choices among those with a free slot for this host.
 *
 * The cost of a worker is based on this host's own requests in flight; load reports and latency can only make a worker less
 * preferred. [heldSlots] returns the number of slots of a worker that this host may currently use; a worker in slow start gets a
 * growing fraction of them. When all are in use, the selector still tries to acquire a slot of one or two saturated workers, so
 * that the owner of the slots learns about the shortage.
 */
class WorkerSelector(
    private val pool: WorkerPool,
    private val random: Random,
    private val heldSlots: (Worker) -> Int = { it.slots },
    private val settings: SelectionSettings = SelectionSettings(),
) {
    private val candidates = ArrayList<WorkerState>()
    private val saturatedWorkers = ArrayList<WorkerState>()

    /** Selects a worker for [query] and acquires one of its slots with [tryAcquireSlot], which returns whether it succeeded. */
    fun select(
        nowMs: Long,
        query: WorkerQuery,
        tryAcquireSlot: (WorkerId) -> Boolean,
    ): WorkerChoice {
        val group = pool.group(query.upstream, query.region) ?: return WorkerChoice.NoEligibleWorker
        val hasEligibleWorker = collectCandidates(nowMs, group, query)
        while (candidates.isNotEmpty()) {
            val index = pickBetterOfTwo(nowMs, group, query)
            val state = candidates[index]
            if (tryAcquireSlot(state.worker.id)) return WorkerChoice.Chosen(state.worker)
            removeCandidate(index)
        }
        return trySaturatedWorkers(tryAcquireSlot) ?: if (hasEligibleWorker) WorkerChoice.NoFreeSlot else WorkerChoice.NoEligibleWorker
    }

    private fun trySaturatedWorkers(tryAcquireSlot: (WorkerId) -> Boolean): WorkerChoice.Chosen? {
        repeat(minOf(MAX_SATURATED_ATTEMPTS, saturatedWorkers.size)) {
            val worker = saturatedWorkers.removeAt(random.nextInt(saturatedWorkers.size)).worker
            if (tryAcquireSlot(worker.id)) return WorkerChoice.Chosen(worker)
        }
        return null
    }

    private fun collectCandidates(
        nowMs: Long,
        group: WorkerGroup,
        query: WorkerQuery,
    ): Boolean {
        candidates.clear()
        saturatedWorkers.clear()
        var hasEligibleWorker = false
        for (state in group.states) {
            if (state.isDraining || state.worker.id in query.excludedWorkers) continue
            if (!isEjectionInForce(nowMs, state)) hasEligibleWorker = true
            val usableSlots = state.usableSlots(nowMs, heldSlots(state.worker), pool.settings)
            if (state.inFlight < usableSlots) {
                candidates.add(state)
            } else if (canRequestMoreSlots(state)) {
                saturatedWorkers.add(state)
            }
        }
        return hasEligibleWorker
    }

    private fun canRequestMoreSlots(state: WorkerState): Boolean = !state.isRestricted && state.inFlight < state.worker.slots

    private fun isEjectionInForce(
        nowMs: Long,
        state: WorkerState,
    ): Boolean = state.isEjected && nowMs < state.ejectedUntilMs

    private fun pickBetterOfTwo(
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
        val zoneFactor = if (state.worker.availabilityZone == query.preferredZone) 1.0 else settings.crossZoneCostFactor
        val failureFactor = 1.0 + minOf(state.consecutiveFailures, MAX_COUNTED_FAILURES)
        return occupancy * zoneFactor * failureFactor * group.slowdownFactor(nowMs, state) / weight(nowMs, state)
    }

    private fun weight(
        nowMs: Long,
        state: WorkerState,
    ): Double {
        val load = state.load ?: return 1.0
        if (nowMs - load.reportedAtMs > pool.settings.loadReportTtlMs) return 1.0
        if (!load.isHealthy) return settings.minLoadReportWeight
        val busyFraction = (load.busySlots.toDouble() / state.worker.slots).coerceIn(0.0, 1.0)
        return 1.0 - (1.0 - settings.minLoadReportWeight) * busyFraction
    }

    private fun removeCandidate(index: Int) {
        candidates[index] = candidates.last()
        candidates.removeAt(candidates.lastIndex)
    }

    private companion object {
        const val MAX_COUNTED_FAILURES = 3
        const val MAX_SATURATED_ATTEMPTS = 2
    }
}

package io.kumquatmill.routing.health

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.model.Worker
import kotlin.random.Random

/**
 * What this entry host knows of all workers: requests in flight, health, drains and load reports.
 *
 * Feed it with every attempt, load report and host list; the worker selector reads it.
 */
class WorkerPool(
    workers: Collection<Worker>,
    private val random: Random,
    internal val settings: HealthSettings = HealthSettings(),
) {
    private val states: MutableMap<WorkerId, WorkerState> = workers.associateTo(LinkedHashMap()) { it.id to WorkerState(it) }
    private var groups: Map<UpstreamId, Map<RegionId, WorkerGroup>> = groupStates()
    private val changes = ArrayList<HealthChange>()

    /** Returns the changes since the last call. */
    fun takeChanges(): List<HealthChange> {
        if (changes.isEmpty()) return emptyList()
        val taken = changes.toList()
        changes.clear()
        return taken
    }

    /** Returns the number of requests of this host that [worker] has now. */
    fun inFlight(worker: WorkerId): Int = states[worker]?.inFlight ?: 0

    /** Returns the regions in which [upstream] has workers. */
    fun regionsOf(upstream: UpstreamId): Set<RegionId> = groups[upstream]?.keys.orEmpty()

    /** Returns whether [worker] gets nothing new because it is leaving. */
    fun isDraining(worker: WorkerId): Boolean = states[worker]?.isDraining ?: true

    /** Returns whether [worker] is ejected, or has not yet served a probe after its ejection. */
    fun isEjected(worker: WorkerId): Boolean = states[worker]?.isEjected ?: false

    /** Replaces the set of workers; those that are new are cold. */
    fun replaceWorkers(
        nowMs: Long,
        workers: Collection<Worker>,
    ) {
        val known = states.toMap()
        states.clear()
        for (worker in workers) {
            val state = known[worker.id]?.takeIf { it.worker == worker }
            states[worker.id] = state ?: WorkerState(worker).also { startRamp(nowMs, it) }
        }
        groups = groupStates()
    }

    /** Counts an attempt that begins at [worker]. */
    fun attemptStarted(worker: WorkerId) {
        states[worker]?.let { it.inFlight += 1 }
    }

    /** Counts an attempt that has ended at [worker], with what it says of the worker. */
    fun attemptEnded(
        nowMs: Long,
        worker: WorkerId,
        sample: AttemptSample,
    ) {
        val state = states[worker] ?: return
        state.inFlight = (state.inFlight - 1).coerceAtLeast(0)
        when (sample) {
            is AttemptSample.Served -> recordServed(nowMs, state, sample.latencyMs)
            is AttemptSample.TimedOut -> recordTimeout(nowMs, state, sample.waitedMs)
            AttemptSample.Failed -> recordFailure(nowMs, state)
            AttemptSample.Unreachable -> recordUnreachable(nowMs, state)
            AttemptSample.Neutral -> Unit
        }
        ejectSlowWorkers(nowMs, groupOf(state))
    }

    /** Takes a load report into account; it can lower the worker's weight, and never raises what it may get. */
    fun loadReported(
        nowMs: Long,
        worker: WorkerId,
        load: WorkerLoad,
    ) {
        val state = states[worker] ?: return
        val known = state.load
        if (known != null && load.reportedAtMs < known.reportedAtMs) return
        state.load = load
        setDrain(nowMs, state, DrainSource.LOAD_REPORT, load.isDraining)
    }

    /** Notes that [worker] refused a request because it drains. */
    fun drainAnswered(
        nowMs: Long,
        worker: WorkerId,
    ) {
        val state = states[worker] ?: return
        state.drainAnsweredAtMs = nowMs
        setDrain(nowMs, state, DrainSource.ANSWER, true)
    }

    /**
     * Takes the platform's list of [live] and [leaving] hosts into account.
     *
     * Workers of a host that is leaving, or that was listed before and is gone, get nothing new. An empty list is ignored.
     */
    fun hostListRead(
        nowMs: Long,
        live: Set<HostId>,
        leaving: Set<HostId>,
    ) {
        if (live.isEmpty() && leaving.isEmpty()) return
        for (state in states.values) {
            val isLive = state.worker.host in live
            val isLeaving = state.worker.host in leaving || (state.wasListed && !isLive)
            state.wasListed = state.wasListed || isLive
            setDrain(nowMs, state, DrainSource.HOST_LIST, isLeaving)
        }
    }

    /** Takes the operators' drain requests into account; [names] are those of workers, of their hosts or of upstreams. */
    fun drainsRequested(
        nowMs: Long,
        names: Set<String>,
    ) {
        for (state in states.values) {
            val worker = state.worker
            val isRequested = worker.id.value in names || worker.host.value in names || worker.upstream.value in names
            setDrain(nowMs, state, DrainSource.OPERATOR, isRequested)
        }
    }

    /** Ends drains that only an old answer of the worker speaks for; call it at each tick. */
    fun expireDrains(nowMs: Long) {
        for (state in states.values) {
            if (DrainSource.ANSWER in state.drainSources && nowMs - state.drainAnsweredAtMs >= settings.drainHoldMs) {
                setDrain(nowMs, state, DrainSource.ANSWER, false)
            }
        }
    }

    internal fun group(
        upstream: UpstreamId,
        region: RegionId,
    ): WorkerGroup? = groups[upstream]?.get(region)

    private fun groupOf(state: WorkerState): WorkerGroup = groups.getValue(state.worker.upstream).getValue(state.worker.region)

    private fun groupStates(): Map<UpstreamId, Map<RegionId, WorkerGroup>> =
        states.values
            .groupBy { it.worker.upstream }
            .mapValues { (_, ofUpstream) ->
                ofUpstream.groupBy { it.worker.region }.mapValues { (_, ofRegion) -> WorkerGroup(ofRegion) }
            }

    private fun setDrain(
        nowMs: Long,
        state: WorkerState,
        source: DrainSource,
        isDraining: Boolean,
    ) {
        val wasDraining = state.isDraining
        if (isDraining) state.drainSources.add(source) else state.drainSources.remove(source)
        if (!wasDraining && state.isDraining) changes += HealthChange.DrainStarted(state.worker.id, source)
        if (wasDraining && !state.isDraining) {
            changes += HealthChange.DrainEnded(state.worker.id)
            startRamp(nowMs, state)
        }
    }

    private fun recordServed(
        nowMs: Long,
        state: WorkerState,
        latencyMs: Long,
    ) {
        state.consecutiveFailures = 0
        if (state.isEjected) {
            if (nowMs >= state.ejectedUntilMs) endEjection(nowMs, state, latencyMs)
            return
        }
        state.recordLatency(nowMs, latencyMs)
        if (nowMs - state.servingSinceMs >= settings.forgiveAfterMs) state.ejections = 0
    }

    private fun endEjection(
        nowMs: Long,
        state: WorkerState,
        latencyMs: Long,
    ) {
        if (groupOf(state).isSlow(latencyMs, settings)) {
            eject(nowMs, state, EjectionCause.PROBE_FAILED)
            return
        }
        state.isEjected = false
        state.servingSinceMs = nowMs
        state.clearLatency()
        startRamp(nowMs, state)
        changes += HealthChange.Returned(state.worker.id)
    }

    private fun recordTimeout(
        nowMs: Long,
        state: WorkerState,
        waitedMs: Long,
    ) {
        if (!groupOf(state).isTimeout(waitedMs, settings)) return
        if (!state.isEjected) state.recordLatency(nowMs, waitedMs)
        recordFailure(nowMs, state)
    }

    /** Ejects a worker whose process is not there; it is no use to keep a part of such workers in service. */
    private fun recordUnreachable(
        nowMs: Long,
        state: WorkerState,
    ) {
        state.consecutiveFailures += 1
        if (state.isEjected && nowMs < state.ejectedUntilMs) return
        eject(nowMs, state, EjectionCause.UNREACHABLE)
    }

    private fun recordFailure(
        nowMs: Long,
        state: WorkerState,
    ) {
        state.consecutiveFailures += 1
        if (state.isEjected) {
            if (nowMs >= state.ejectedUntilMs) eject(nowMs, state, EjectionCause.PROBE_FAILED)
            return
        }
        if (state.consecutiveFailures >= settings.consecutiveFailures && groupOf(state).mayEject(settings)) {
            eject(nowMs, state, EjectionCause.CONSECUTIVE_FAILURES)
        }
    }

    private fun ejectSlowWorkers(
        nowMs: Long,
        group: WorkerGroup,
    ) {
        if (!group.isEvaluationDue(nowMs)) return
        for (state in group.evaluate(nowMs, settings)) {
            if (!group.mayEject(settings)) return
            eject(nowMs, state, EjectionCause.SLOW)
        }
    }

    private fun eject(
        nowMs: Long,
        state: WorkerState,
        cause: EjectionCause,
    ) {
        val doublings = state.ejections.coerceAtMost(MAX_DOUBLINGS)
        val durationMs = (settings.baseEjectionMs shl doublings).coerceAtMost(settings.maxEjectionMs)
        state.isEjected = true
        state.consecutiveFailures = 0
        state.ejections += 1
        state.ejectedUntilMs = nowMs + durationMs
        changes += HealthChange.Ejected(state.worker.id, cause, state.ejectedUntilMs)
    }

    private fun startRamp(
        nowMs: Long,
        state: WorkerState,
    ) {
        state.rampStartedAtMs = nowMs
        state.rampRounding = random.nextDouble()
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}

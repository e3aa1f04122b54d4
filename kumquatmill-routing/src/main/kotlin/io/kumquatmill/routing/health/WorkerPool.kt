package io.kumquatmill.routing.health

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.model.Worker
import kotlin.random.Random

/**
 * State of all workers as seen by this entry host: requests in flight, health, drains and load reports.
 *
 * It must be notified of every attempt, load report, host list and operator drain. The worker selector reads it.
 */
class WorkerPool(
    workers: Collection<Worker>,
    private val random: Random,
    internal val settings: HealthSettings = HealthSettings(),
) {
    private val states: MutableMap<WorkerId, WorkerState> = workers.associateTo(LinkedHashMap()) { it.id to WorkerState(it) }
    private var groups: Map<UpstreamId, Map<RegionId, WorkerGroup>> = groupWorkers()
    private val changes = ArrayList<HealthChange>()

    /** Returns the changes since the last call and clears them. */
    fun takeChanges(): List<HealthChange> {
        if (changes.isEmpty()) return emptyList()
        val taken = changes.toList()
        changes.clear()
        return taken
    }

    /** Returns the number of requests from this host that are in flight at [worker]. */
    fun inFlight(worker: WorkerId): Int = states[worker]?.inFlight ?: 0

    /** Returns the regions in which [upstream] has workers. */
    fun regionsOf(upstream: UpstreamId): Set<RegionId> = groups[upstream]?.keys.orEmpty()

    /** Returns whether [worker] receives no new requests because it is draining; true if the worker is unknown. */
    fun isDraining(worker: WorkerId): Boolean = states[worker]?.isDraining ?: true

    /** Returns whether [worker] is ejected, or has not yet served a probe after its ejection. */
    fun isEjected(worker: WorkerId): Boolean = states[worker]?.isEjected ?: false

    /** Replaces the set of workers. New workers, and those whose settings changed, begin with a slow start. */
    fun replaceWorkers(
        nowMs: Long,
        workers: Collection<Worker>,
    ) {
        val previousStates = states.toMap()
        states.clear()
        for (worker in workers) {
            val state = previousStates[worker.id]?.takeIf { it.worker == worker }
            states[worker.id] = state ?: WorkerState(worker).also { beginSlowStart(nowMs, it) }
        }
        groups = groupWorkers()
    }

    /** Records the start of an attempt at [worker]. */
    fun onAttemptStarted(worker: WorkerId) {
        states[worker]?.let { it.inFlight += 1 }
    }

    /** Records the end of an attempt at [worker] with its health signal. */
    fun onAttemptEnded(
        nowMs: Long,
        worker: WorkerId,
        sample: AttemptSample,
    ) {
        val state = states[worker] ?: return
        state.inFlight = (state.inFlight - 1).coerceAtLeast(0)
        when (sample) {
            is AttemptSample.Served -> recordSuccess(nowMs, state, sample.latencyMs)
            is AttemptSample.TimedOut -> recordTimeout(nowMs, state, sample.waitedMs)
            AttemptSample.Failed -> recordFailure(nowMs, state)
            AttemptSample.Unreachable -> recordUnreachable(nowMs, state)
            AttemptSample.Neutral -> Unit
        }
        ejectSlowWorkers(nowMs, groupOf(state))
    }

    /** Records a load report, which can lower the worker's weight but never raise it. Reports older than the latest are ignored. */
    fun onLoadReport(
        nowMs: Long,
        worker: WorkerId,
        load: WorkerLoad,
    ) {
        val state = states[worker] ?: return
        val previousLoad = state.load
        if (previousLoad != null && load.reportedAtMs < previousLoad.reportedAtMs) return
        state.load = load
        setDrain(nowMs, state, DrainSource.LOAD_REPORT, load.isDraining)
    }

    /** Records that [worker] refused a request because it is draining. */
    fun onDrainResponse(
        nowMs: Long,
        worker: WorkerId,
    ) {
        val state = states[worker] ?: return
        state.drainResponseAtMs = nowMs
        setDrain(nowMs, state, DrainSource.ANSWER, true)
    }

    /**
     * Applies the platform's host list.
     *
     * Workers whose host is draining, or was listed before and is now missing, receive no new requests. An empty list is ignored.
     */
    fun onHostList(
        nowMs: Long,
        liveHosts: Set<HostId>,
        drainingHosts: Set<HostId>,
    ) {
        if (liveHosts.isEmpty() && drainingHosts.isEmpty()) return
        for (state in states.values) {
            val isHostLive = state.worker.host in liveHosts
            val isHostDraining = state.worker.host in drainingHosts || (state.wasInHostList && !isHostLive)
            state.wasInHostList = state.wasInHostList || isHostLive
            setDrain(nowMs, state, DrainSource.HOST_LIST, isHostDraining)
        }
    }

    /** Replaces the operators' drain requests by those for [names], which are names of workers, hosts or upstreams. */
    fun onOperatorDrains(
        nowMs: Long,
        names: Set<String>,
    ) {
        for (state in states.values) {
            val worker = state.worker
            val isRequested = worker.id.value in names || worker.host.value in names || worker.upstream.value in names
            setDrain(nowMs, state, DrainSource.OPERATOR, isRequested)
        }
    }

    /** Expires drain signals from workers' responses after [HealthSettings.drainResponseTtlMs]. Call it on every tick. */
    fun expireDrains(nowMs: Long) {
        for (state in states.values) {
            if (DrainSource.ANSWER in state.drainSources && nowMs - state.drainResponseAtMs >= settings.drainResponseTtlMs) {
                setDrain(nowMs, state, DrainSource.ANSWER, false)
            }
        }
    }

    internal fun group(
        upstream: UpstreamId,
        region: RegionId,
    ): WorkerGroup? = groups[upstream]?.get(region)

    private fun groupOf(state: WorkerState): WorkerGroup = groups.getValue(state.worker.upstream).getValue(state.worker.region)

    private fun groupWorkers(): Map<UpstreamId, Map<RegionId, WorkerGroup>> =
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
            beginSlowStart(nowMs, state)
        }
    }

    private fun recordSuccess(
        nowMs: Long,
        state: WorkerState,
        latencyMs: Long,
    ) {
        state.consecutiveFailures = 0
        if (state.isEjected) {
            if (nowMs >= state.ejectedUntilMs) evaluateProbe(nowMs, state, latencyMs)
            return
        }
        state.recordLatency(nowMs, latencyMs)
        if (nowMs - state.inServiceSinceMs >= settings.ejectionBackoffResetMs) state.ejectionCount = 0
    }

    private fun evaluateProbe(
        nowMs: Long,
        state: WorkerState,
        latencyMs: Long,
    ) {
        if (groupOf(state).isSlow(latencyMs, settings)) {
            eject(nowMs, state, EjectionCause.PROBE_FAILED)
            return
        }
        state.isEjected = false
        state.inServiceSinceMs = nowMs
        state.clearLatency()
        beginSlowStart(nowMs, state)
        changes += HealthChange.Reinstated(state.worker.id)
    }

    private fun recordTimeout(
        nowMs: Long,
        state: WorkerState,
        waitedMs: Long,
    ) {
        if (!groupOf(state).isTimeoutFailure(waitedMs, settings)) return
        if (!state.isEjected) state.recordLatency(nowMs, waitedMs)
        recordFailure(nowMs, state)
    }

    /** Ejects a worker whose process is not running, regardless of the ejection limit: it would be no use in service. */
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
        if (state.consecutiveFailures >= settings.consecutiveFailuresToEject && groupOf(state).mayEject(settings)) {
            eject(nowMs, state, EjectionCause.CONSECUTIVE_FAILURES)
        }
    }

    private fun ejectSlowWorkers(
        nowMs: Long,
        group: WorkerGroup,
    ) {
        if (!group.isEvaluationDue(nowMs)) return
        for (state in group.updateMedianAndFindOutliers(nowMs, settings)) {
            if (!group.mayEject(settings)) return
            eject(nowMs, state, EjectionCause.SLOW)
        }
    }

    private fun eject(
        nowMs: Long,
        state: WorkerState,
        cause: EjectionCause,
    ) {
        val doublings = state.ejectionCount.coerceAtMost(MAX_DOUBLINGS)
        val durationMs = (settings.baseEjectionMs shl doublings).coerceAtMost(settings.maxEjectionMs)
        state.isEjected = true
        state.consecutiveFailures = 0
        state.ejectionCount += 1
        state.ejectedUntilMs = nowMs + durationMs
        changes += HealthChange.Ejected(state.worker.id, cause, state.ejectedUntilMs)
    }

    private fun beginSlowStart(
        nowMs: Long,
        state: WorkerState,
    ) {
        state.slowStartBeganAtMs = nowMs
        state.slowStartRoundingOffset = random.nextDouble()
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}

package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.limits.bucket.TokenBucket
import io.kumquatmill.traffic.leaving.LeavingWorkers
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.Upstream
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.pause.WorkerPauses
import io.kumquatmill.traffic.workerlimit.RateOwners
import io.kumquatmill.traffic.workerlimit.WorkerLimits
import kotlin.math.max

/**
 * All known workers by upstream, with this host's part of their connection and rate limits.
 *
 * @param selfName name of this host
 * @param rateLimits rates that the workers take from all hosts together
 * @param coldRateFactor multiple of a cold worker's rate limit that all hosts together may reach
 * @param coldRateSlack additional requests that all hosts together may send to a cold worker in any second
 * @param leaving workers that have said that they leave
 * @param pauses times for which workers want no requests from this host
 */
class WorkerRegistry internal constructor(
    selfName: String,
    private val settings: PlacementSettings,
    private val rateLimits: WorkerLimits,
    private val coldRateFactor: Double,
    private val coldRateSlack: Double,
    private val leaving: LeavingWorkers = LeavingWorkers(selfName),
    private val pauses: WorkerPauses = WorkerPauses(),
) {
    private val workers = HashMap<WorkerId, TrackedWorker>()
    private val owners = RateOwners(selfName)
    private var workersByUpstream: Map<UpstreamId, List<TrackedWorker>> = emptyMap()
    private var evacuatedZones: Set<AvailabilityZoneId> = emptySet()
    private var upstreams: Map<UpstreamId, Upstream> = emptyMap()

    /** Number of states applied so far; values derived from the workers stay valid while it does not change. */
    var version: Long = 0
        private set

    /** Applies a new [state]; [hosts] are the names of all hosts of the fleet, which share the limits of each worker. */
    fun update(
        nowMs: Long,
        state: SteeringState,
        hosts: Collection<String>,
    ) {
        version++
        upstreams = state.desired?.upstreams ?: upstreams
        val restoredZones = evacuatedZones - state.evacuatedZones
        evacuatedZones = state.evacuatedZones
        workers.keys.retainAll(state.workers.keys)
        rateLimits.retain(nowMs, state.workers.values)
        state.workers.values.forEach { updateWorker(nowMs, it) }
        workers.values.filter { it.entry.availabilityZone in restoredZones }.forEach { worker ->
            worker.coldUntilMs = max(worker.coldUntilMs, nowMs + (upstreams[worker.entry.upstream]?.coldMs ?: 0))
        }
        workersByUpstream = workers.values.groupBy { it.entry.upstream }
        updateLimits(nowMs, hosts)
    }

    /** Recomputes this host's part of each worker's connections, and of the rate of cold workers, in a fleet of [hosts]. */
    fun updateLimits(
        nowMs: Long,
        hosts: Collection<String>,
    ) = workers.values.forEach { worker ->
        val maxConnections = upstreams[worker.entry.upstream]?.maxConnections ?: Int.MAX_VALUE
        worker.connectionLimit = max(1, maxConnections / max(1, hosts.size))
        if (worker.isCold(nowMs) || worker.coldBucket == null) updateColdRate(nowMs, worker, hosts)
    }

    /** Returns the workers of [upstream] outside evacuated zones, including draining ones. */
    fun workersOf(upstream: UpstreamId): List<TrackedWorker> =
        workersByUpstream[upstream].orEmpty().filter { it.entry.availabilityZone !in evacuatedZones }

    /** Returns the workers of [upstream] in evacuated zones. */
    internal fun evacuatedWorkersOf(upstream: UpstreamId): List<TrackedWorker> =
        workersByUpstream[upstream].orEmpty().filter { it.entry.availabilityZone in evacuatedZones }

    /** Returns all known workers, also those in evacuated zones. */
    internal fun all(): Collection<TrackedWorker> = workers.values

    /** Returns whether a peer has reported that [worker] leaves, so that others are preferred. */
    fun isToldLeaving(
        nowMs: Long,
        worker: TrackedWorker,
    ): Boolean = leaving.isTold(nowMs, worker.entry)

    /** Sends no more requests to the worker of [entry], which has said that it leaves. */
    fun onLeaving(entry: WorkerEntry) {
        val worker = workers[entry.id]?.takeIf { it.entry.startedAtMs == entry.startedAtMs } ?: return
        worker.entry = worker.entry.copy(isDraining = true)
        worker.isLeaving = true
    }

    /** Applies the pause that the worker of [entry] has named. */
    fun onPaused(entry: WorkerEntry) {
        val worker = workers[entry.id]?.takeIf { it.entry.startedAtMs == entry.startedAtMs } ?: return
        worker.pausedUntilMs = pauses.endsAtMs(entry)
    }

    /** Forgets the failures of all workers, because they are reached in another way from now on. */
    fun forgetFailures() = workers.values.forEach { it.forgetFailures() }

    private fun updateWorker(
        nowMs: Long,
        entry: WorkerEntry,
    ) {
        val known = workers[entry.id]
        if (known?.entry?.revision == entry.revision) return
        val isSameProcess = known != null && known.entry.startedAtMs == entry.startedAtMs && known.entry.address == entry.address
        val worker = if (isSameProcess) known else TrackedWorker(entry, settings, rateLimits.of(entry)).also { workers[entry.id] = it }
        worker.entry = entry
        worker.isLeaving = entry.isDraining
        worker.pausedUntilMs = pauses.endsAtMs(entry)
        worker.onEntryChanged()
        worker.coldUntilMs = nowMs + entry.warmUpRemainingMs
    }

    /**
     * Sets this host's part of a cold worker's rate. Each host with a part may use one token beyond it. If the single tokens of
     * all hosts together could exceed the limit, only some of the hosts get a part.
     */
    private fun updateColdRate(
        nowMs: Long,
        worker: TrackedWorker,
        hosts: Collection<String>,
    ) {
        val ratePerS = upstreams[worker.entry.upstream]?.coldRatePerS ?: 0.0
        if (ratePerS <= 0) {
            worker.coldBucket = null
            return
        }
        val tolerance = ratePerS * (coldRateFactor - RATE_FRACTION) + coldRateSlack
        val maxOwners = max(1, (tolerance * TOLERANCE_FRACTION).toInt())
        val ownRatePerS = ratePerS * RATE_FRACTION * owners.ownPart(worker.nameHash, hosts, maxOwners)
        val bucket = worker.coldBucket ?: TokenBucket(ownRatePerS, 1.0, nowMs, if (ownRatePerS > 0) 1.0 else 0.0)
        bucket.rescale(nowMs, ownRatePerS, 1.0)
        worker.coldBucket = bucket
    }

    private companion object {
        /** Fraction of a cold worker's rate that the hosts share; the token that each of them holds in addition uses the tolerance. */
        const val RATE_FRACTION = 0.8

        /** Fraction of the tolerance for the hosts' single tokens; the rest covers requests that network delays move closer together. */
        const val TOLERANCE_FRACTION = 0.7
    }
}

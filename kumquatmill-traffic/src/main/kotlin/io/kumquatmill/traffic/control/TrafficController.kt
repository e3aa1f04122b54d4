package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.admission.CapacityAdmission
import io.kumquatmill.traffic.crash.CrashEvent
import io.kumquatmill.traffic.crash.CrashingRequests
import io.kumquatmill.traffic.crash.ProbeResult
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.fleet.ChangeSource
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.leaving.LeavingChange
import io.kumquatmill.traffic.leaving.LeavingWorkers
import io.kumquatmill.traffic.leaving.WorkerWord
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.pause.PauseChange
import io.kumquatmill.traffic.pause.StatedPause
import io.kumquatmill.traffic.pause.WorkerPauses
import io.kumquatmill.traffic.placement.Placement
import io.kumquatmill.traffic.placement.SharedLoads
import io.kumquatmill.traffic.placement.WorkerRegistry
import io.kumquatmill.traffic.ratelimit.LoanRequest
import io.kumquatmill.traffic.ratelimit.WorkspaceRateLimiter
import io.kumquatmill.traffic.reach.ReachChange
import io.kumquatmill.traffic.reach.RelayPeers
import io.kumquatmill.traffic.reach.WorkerReach
import io.kumquatmill.traffic.workerlimit.WorkerLimitChange
import io.kumquatmill.traffic.workerlimit.WorkerLimits
import kotlin.random.Random

/**
 * Makes all decisions of an entry host on its requests, without performing any I/O.
 *
 * It applies the state that all decisions share, and passes each question on to the part that answers it: [RequestAdmission],
 * [NextAttempt], [AttemptResults], [PeerExchange].
 *
 * Instances are not thread-safe. All times are milliseconds of one monotonic clock.
 */
class TrafficController private constructor(
    private val parts: Parts,
) : PeerExchange by parts.exchange {
    private var state = SteeringState.empty
    private val nextAttempt =
        with(parts) { NextAttempt(settings, fleet, rateLimiter, placement, crashingRequests, reach, relays, capacity) }
    private val admission =
        RequestAdmission(parts.rateLimiter, parts.crashingRequests, parts.capacity) { nowMs, request ->
            nextAttempt.next(nowMs, request, lastFailure = null)
        }
    private val explainer = RequestExplainer(admission, nextAttempt, parts.rateLimiter)
    private val results =
        with(parts) {
            AttemptResults(placement, workerLimits, crashingRequests, reach, relays, leaving, nextAttempt, sharedLoads, capacity) {
                state.workers[it]
            }
        }

    /**
     * @param sendLoanRequest sends a request for rate limit tokens to a peer
     * @param onWorkerLimitChange called when a worker's rate limit is set, changed or lifted
     * @param probeWorker opens a connection to a worker, the result of which is passed to [onProbed]
     * @param onCrashEvent called when a worker has ended under a request, and when a request is quarantined or cleared
     * @param onReachChange called when this host is cut off from all workers, and when it reaches them again
     * @param onLeavingChange called when this host learns that a worker leaves, or that it does not
     * @param onPauseChange called when a worker has named a time for which it wants no requests from this host
     * @param random chooses the workers to probe and the peers through which requests are sent
     */
    constructor(
        self: EntryHostInfo,
        settings: TrafficSettings,
        sendLoanRequest: (LoanRequest) -> Unit = { },
        onWorkerLimitChange: (WorkerLimitChange) -> Unit = { },
        probeWorker: (WorkerEntry) -> Unit = { },
        onCrashEvent: (CrashEvent) -> Unit = { },
        onReachChange: (ReachChange) -> Unit = { },
        onLeavingChange: (LeavingChange) -> Unit = { },
        onPauseChange: (PauseChange) -> Unit = { },
        random: Random = Random.Default,
    ) : this(
        Parts(
            self,
            settings,
            sendLoanRequest,
            onWorkerLimitChange,
            probeWorker,
            onCrashEvent,
            onReachChange,
            onLeavingChange,
            onPauseChange,
            random,
        ),
    )

    /** Version of the desired state that is in effect, or null before the first one. */
    val version: Long?
        get() = state.desired?.version

    /** Maximum size of a request body in bytes; 0 before the first desired state. */
    val maxBodyBytes: Long
        get() = state.desired?.maxBodyBytes ?: 0

    /** Number of workers that take only a limited rate of requests. */
    val limitedWorkers: Int
        get() = parts.workerLimits.inForceCount

    /** Number of loads of workers that peers have reported and that this host has used, since its start. */
    val usedSharedLoads: Long
        get() = parts.sharedLoads.usedCount

    /** Number of requests that are quarantined because workers ended when they ran them. */
    val quarantinedRequests: Int
        get() = parts.crashingRequests.quarantinedCount

    /** Whether requests can be served: a desired state and at least one worker are known. */
    val isReady: Boolean
        get() = state.desired != null && state.workers.isNotEmpty()

    /** Whether this host is cut off from all workers and sends requests through its peers. */
    val isCutOff: Boolean
        get() = parts.reach.isCutOff

    /** Applies a new [state], but keeps the current desired state if the new one is older or missing. */
    fun update(
        nowMs: Long,
        state: SteeringState,
    ) {
        val current = this.state.desired
        val isOlder = current != null && (state.desired == null || state.desired.version < current.version)
        parts.leaving.retain(nowMs, state.workers)
        this.state = withLeaving(if (isOlder) state.copy(desired = current) else state)
        val desired = this.state.desired
        parts.workers.update(nowMs, this.state, parts.fleet.hostNames())
        parts.crashingRequests.onEntries(nowMs, this.state.workers)
        if (desired != null && desired !== current) admission.update(nowMs, desired)
    }

    /** Returns [state] with the workers as draining that have said that they leave, whatever their entries say. */
    private fun withLeaving(state: SteeringState): SteeringState {
        if (!parts.leaving.isAnyLeaving) return state
        return state.copy(
            workers =
                state.workers.mapValues { (_, entry) ->
                    if (parts.leaving.hasSaid(entry)) entry.asLeaving() else entry
                },
        )
    }

    private fun WorkerEntry.asLeaving(): WorkerEntry = if (isDraining) this else copy(isDraining = true)

    /** Applies the [word] that the head of an answer has, on the connection of a request that was sent to [expected]. */
    fun onWorkerWord(
        nowMs: Long,
        expected: WorkerEntry,
        word: WorkerWord,
    ) {
        val worker = word.subject(expected, state.workers) ?: return
        if (word.pause is StatedPause.Named) {
            parts.pauses.onNamed(nowMs, worker, word.pause.pauseMs)
            parts.workers.onPaused(worker)
        }
        if (!word.isLeaving || !parts.leaving.onSaid(nowMs, worker)) return
        state = withLeaving(state)
        parts.workers.onLeaving(worker)
    }

    /** Returns whether the worker of [entry] must not receive new requests, because it is draining or has said that it leaves. */
    fun isLeaving(entry: WorkerEntry): Boolean =
        parts.leaving.hasSaid(entry) || state.workers[entry.id]?.takeIf { it.startedAtMs == entry.startedAtMs }?.isDraining ?: false

    /** Applies the [result] of a probe of [worker]. */
    fun onProbed(
        nowMs: Long,
        worker: WorkerEntry,
        result: ProbeResult,
    ) {
        // While this host is cut off, a refused connection says nothing of the worker.
        if (!isCutOff) parts.crashingRequests.onProbed(nowMs, worker, result)
        if (result == ProbeResult.ACCEPTED) parts.reach.onConnected(nowMs, worker.id) else parts.reach.onConnectFailed(nowMs, worker.id)
    }

    /** Records that [worker] responded over a new connection of this host, or over one that was in use before if [isReused]. */
    fun onResponse(
        nowMs: Long,
        worker: WorkerId,
        isReused: Boolean,
    ) = if (isReused) parts.reach.onResponse(nowMs) else parts.reach.onConnected(nowMs, worker)

    /**
     * Returns the worker [id] if this host may pass requests of its peers on to it: it is known, not draining and not in an evacuated zone.
     */
    fun relayTarget(id: WorkerId): WorkerEntry? =
        state.workers[id]?.takeIf { !it.isDraining && it.availabilityZone !in state.evacuatedZones }

    /** Returns whether the worker of [entry] wants no requests from this host now. */
    fun isPaused(
        nowMs: Long,
        entry: WorkerEntry,
    ): Boolean = nowMs < parts.pauses.endsAtMs(entry)

    /** Records that the connection to [worker] was lost before it responded to a peer's request that was sent at [sentAtMs]. */
    fun onRelayedRequestLost(
        nowMs: Long,
        sentAtMs: Long,
        worker: WorkerEntry,
        fingerprint: RequestFingerprint,
    ) = parts.crashingRequests.onLost(nowMs, sentAtMs, worker, fingerprint)

    /** Recomputes this host's shares of the rate limits and of the workers' limits; must be called several times per second. */
    fun tick(nowMs: Long) {
        parts.rateLimiter.rebalance(nowMs)
        parts.workers.updateLimits(nowMs, parts.fleet.hostNames())
        parts.workerLimits.updateParts(nowMs)
        parts.crashingRequests.tick(nowMs)
        parts.leaving.tick(nowMs)
        parts.pauses.tick(nowMs)
        parts.capacity.tick(nowMs)
        parts.reach.tick(nowMs, state.workers.values) { parts.fleet.reachingPeers(nowMs).map { it.ageMs } }
    }

    /** Resolves the route and workspace of a request for [host] and [path] that came with [key], or without one if it is null. */
    fun resolve(
        host: String,
        path: String,
        key: String?,
    ): RouteResolution = admission.resolve(host, path, key)

    /**
     * Starts a request that was [resolved] and returns it with its first action. The request is null if it is refused at once.
     *
     * @param affinityKey key that all requests for the same object share, or null if the request has none
     * @param deadlineMs time in milliseconds that the caller is willing to wait, or null if it states none
     * @param fingerprint identifies the request when it comes again under another id
     */
    fun begin(
        nowMs: Long,
        resolved: RouteResolution.Resolved,
        affinityKey: String?,
        requestId: String,
        deadlineMs: Long?,
        fingerprint: RequestFingerprint,
    ): Pair<TrafficRequest?, RequestAction> = admission.begin(nowMs, resolved, affinityKey, requestId, deadlineMs, fingerprint)

    /**
     * Returns what [resolve] and [begin] would decide on [explained] if it came now without a deadline and without a body. It changes no
     * later decision. Without an affinity key it shows one of many ids, by which such requests are spread over the workers.
     */
    fun explain(
        nowMs: Long,
        explained: ExplainedRequest,
    ): RequestPreview = explainer.explain(nowMs, explained)

    /** Continues [request] after a [RequestAction.Wait]; each wait is continued once. */
    fun resume(
        nowMs: Long,
        request: TrafficRequest,
    ): RequestAction = admission.resume(nowMs, request)

    /** Records the [result] of the current attempt of [request] and returns the next action. */
    fun onResult(
        nowMs: Long,
        request: TrafficRequest,
        result: AttemptResult,
    ): RequestAction = results.onResult(nowMs, request, result)

    /**
     * Ends [request] because its caller disconnected or its deadline passed, even if a worker is still executing it.
     *
     * @param isWorkerSlow whether the missing response is recorded as a timeout of the worker
     * @param result how the current attempt ended, or null if it has not
     */
    fun abandon(
        nowMs: Long,
        request: TrafficRequest,
        isWorkerSlow: Boolean,
        result: AttemptResult? = null,
    ) = results.abandon(nowMs, request, isWorkerSlow, result)

    /** What the decisions share: each is told by one part and asked by others. */
    private class Parts(
        self: EntryHostInfo,
        val settings: TrafficSettings,
        sendLoanRequest: (LoanRequest) -> Unit,
        onWorkerLimitChange: (WorkerLimitChange) -> Unit,
        probeWorker: (WorkerEntry) -> Unit,
        onCrashEvent: (CrashEvent) -> Unit,
        private val onReachChange: (ReachChange) -> Unit,
        onLeavingChange: (LeavingChange) -> Unit,
        onPauseChange: (PauseChange) -> Unit,
        random: Random,
    ) {
        private val zone = AvailabilityZoneId(self.availabilityZone)
        val fleet = FleetView(self, settings.fleet, minFleetSize = settings.regionByZone.size)
        val rateLimiter = WorkspaceRateLimiter(fleet, settings.rateLimit, sendLoanRequest)
        val workerLimits = WorkerLimits(fleet, settings.workerLimit, settings.regionByZone, onWorkerLimitChange)
        val leaving = LeavingWorkers(self.host, settings.leaving, onLeavingChange)
        val pauses = WorkerPauses(settings.pause, onPauseChange)
        val workers =
            WorkerRegistry(self.host, settings.placement, workerLimits, settings.coldRateFactor, settings.coldRateSlack, leaving, pauses)
        val capacity = CapacityAdmission(settings.admission.copy(maxWaitFractions = settings.placement.maxWaitFractions))
        val placement = Placement(workers, settings.regionByZone, zone, settings.placement, capacity)
        val crashingRequests = CrashingRequests(self.host, settings.crash, probeWorker, onCrashEvent)
        val reach = WorkerReach(settings.reach, random, probeWorker, ::onReachChanged)
        val relays = RelayPeers(settings.regionByZone[zone], settings.reach, random)
        val sharedLoads = SharedLoads(self.region, fleet, workers, settings.placement)
        val exchange =
            FleetExchange(
                fleet,
                rateLimiter,
                workerLimits,
                crashingRequests,
                reach,
                leaving,
                sharedLoads,
                ChangeSource(fleet, settings.fleet),
            )

        private fun onReachChanged(change: ReachChange) {
            workers.forgetFailures()
            onReachChange(change)
        }
    }
}

package io.kumquatmill.traffic.control

import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.crash.CrashEvent
import io.kumquatmill.traffic.crash.CrashReport
import io.kumquatmill.traffic.crash.CrashingRequests
import io.kumquatmill.traffic.crash.ProbeResult
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkerLimitObservation
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.model.Workspace
import io.kumquatmill.traffic.placement.Placement
import io.kumquatmill.traffic.placement.PlacementChoice
import io.kumquatmill.traffic.placement.PlacementQuery
import io.kumquatmill.traffic.placement.TrackedWorker
import io.kumquatmill.traffic.placement.WorkerRegistry
import io.kumquatmill.traffic.ratelimit.LoanGrant
import io.kumquatmill.traffic.ratelimit.LoanRequest
import io.kumquatmill.traffic.ratelimit.RateLimitDecision
import io.kumquatmill.traffic.ratelimit.WorkspaceRateLimiter
import io.kumquatmill.traffic.reach.ReachChange
import io.kumquatmill.traffic.reach.RelayPeers
import io.kumquatmill.traffic.reach.WorkerReach
import io.kumquatmill.traffic.retry.RetryBudget
import io.kumquatmill.traffic.route.RouteIndex
import io.kumquatmill.traffic.route.WeightedRoundRobin
import io.kumquatmill.traffic.workerlimit.WorkerLimitChange
import io.kumquatmill.traffic.workerlimit.WorkerLimits
import kotlin.math.min
import kotlin.random.Random

/**
 * Makes all decisions of an entry host on its requests, without performing any I/O.
 *
 * Instances are not thread-safe. All times are milliseconds of one monotonic clock.
 *
 * @param sendLoanRequest sends a request for rate limit tokens to a peer
 * @param onWorkerLimitChange called when a worker's rate limit is set, changed or lifted
 * @param probeWorker opens a connection to a worker, the result of which is passed to [onProbed]
 * @param onCrashEvent called when a worker has ended under a request, and when a request is quarantined or cleared
 * @param onReachChange called when this host is cut off from all workers, and when it reaches them again
 * @param random chooses the workers to probe and the peers through which requests are sent
 */
class TrafficController(
    private val self: EntryHostInfo,
    private val settings: TrafficSettings,
    sendLoanRequest: (LoanRequest) -> Unit = { },
    onWorkerLimitChange: (WorkerLimitChange) -> Unit = { },
    probeWorker: (WorkerEntry) -> Unit = { },
    onCrashEvent: (CrashEvent) -> Unit = { },
    private val onReachChange: (ReachChange) -> Unit = { },
    random: Random = Random.Default,
) {
    private val fleet = FleetView(self, settings.fleet, minFleetSize = settings.regionByZone.size)
    private val rateLimiter = WorkspaceRateLimiter(fleet, settings.rateLimit, sendLoanRequest)
    private val workerLimits = WorkerLimits(fleet, settings.workerLimit, settings.regionByZone, onWorkerLimitChange)
    private val workers =
        WorkerRegistry(self.host, settings.placement, workerLimits, settings.coldRateFactor, settings.coldRateSlack)
    private val placement = Placement(workers, settings.regionByZone, AvailabilityZoneId(self.availabilityZone), settings.placement)
    private val crashingRequests = CrashingRequests(self.host, settings.crash, probeWorker, onCrashEvent)
    private val reach = WorkerReach(settings.reach, random, probeWorker, ::onReachChanged)
    private val relays =
        RelayPeers(settings.regionByZone[AvailabilityZoneId(self.availabilityZone)], settings.reach, random)
    private val retryBudget = RetryBudget(settings.retryRatio, settings.retryReserve, settings.retryWindowMs)
    private val roundRobin = WeightedRoundRobin()
    private val callerRetries = CallerRetryDetector()
    private var state = SteeringState.empty
    private var routes = RouteIndex(emptyList())
    private var workspacesByKey: Map<String, Workspace> = emptyMap()
    private var priorities: List<Int> = emptyList()

    /** Version of the desired state that is in effect, or null before the first one. */
    val version: Long?
        get() = state.desired?.version

    /** Maximum size of a request body in bytes; 0 before the first desired state. */
    val maxBodyBytes: Long
        get() = state.desired?.maxBodyBytes ?: 0

    /** Number of workers that take only a limited rate of requests. */
    val limitedWorkers: Int
        get() = workerLimits.inForceCount

    /** Number of requests that are quarantined because workers ended when they ran them. */
    val quarantinedRequests: Int
        get() = crashingRequests.quarantinedCount

    /** Whether requests can be served: a desired state and at least one worker are known. */
    val isReady: Boolean
        get() = state.desired != null && state.workers.isNotEmpty()

    /** Whether this host is cut off from all workers and sends requests through its peers. */
    val isCutOff: Boolean
        get() = reach.isCutOff

    /** Applies a new [state], but keeps the current desired state if the new one is older or missing. */
    fun update(
        nowMs: Long,
        state: SteeringState,
    ) {
        val current = this.state.desired
        val isOlder = current != null && (state.desired == null || state.desired.version < current.version)
        this.state = if (isOlder) state.copy(desired = current) else state
        val desired = this.state.desired
        workers.update(nowMs, this.state, fleet.hostNames())
        crashingRequests.onEntries(nowMs, this.state.workers)
        if (desired != null && desired !== current) {
            routes = RouteIndex(desired.routes)
            workspacesByKey = desired.workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()
            priorities =
                desired.routes
                    .map { it.priority }
                    .distinct()
                    .sorted()
            rateLimiter.update(nowMs, desired.workspaces)
        }
    }

    /** Applies the host records of the store. */
    fun updateHosts(
        nowMs: Long,
        hosts: Collection<EntryHostInfo>,
    ) = fleet.updateHosts(nowMs, hosts)

    /** Applies a peer's report; returns false if it is outdated and was ignored. */
    fun onReport(
        nowMs: Long,
        report: PeerReport,
    ): Boolean {
        val isApplied = fleet.onReport(nowMs, report)
        if (isApplied) {
            workerLimits.onReport(nowMs, report)
            crashingRequests.onReport(nowMs, report)
        }
        return isApplied
    }

    /** Applies the [result] of a probe of [worker]. */
    fun onProbed(
        nowMs: Long,
        worker: WorkerEntry,
        result: ProbeResult,
    ) {
        // While this host is cut off, a refused connection says nothing of the worker.
        if (!isCutOff) crashingRequests.onProbed(nowMs, worker, result)
        if (result == ProbeResult.ACCEPTED) reach.onConnected(nowMs, worker.id) else reach.onConnectFailed(nowMs, worker.id)
    }

    /** Records that [worker] responded over a new connection of this host, or over one that was in use before if [isReused]. */
    fun onResponse(
        nowMs: Long,
        worker: WorkerId,
        isReused: Boolean,
    ) = if (isReused) reach.onResponse(nowMs) else reach.onConnected(nowMs, worker)

    private fun onReachChanged(change: ReachChange) {
        workers.forgetFailures()
        onReachChange(change)
    }

    /** Returns the time in milliseconds since a worker last responded to this host directly, or null if none has. */
    fun workerReachAgeMs(nowMs: Long): Long? = reach.reachAgeMs(nowMs)

    /** Returns the number of peers that reach workers. */
    fun reachingPeerCount(nowMs: Long): Int = fleet.reachingPeers(nowMs).size

    /**
     * Returns the worker [id] if this host may pass requests of its peers on to it: it is known, not draining and not in an evacuated zone.
     */
    fun relayTarget(id: WorkerId): WorkerEntry? =
        state.workers[id]?.takeIf { !it.isDraining && it.availabilityZone !in state.evacuatedZones }

    /** Returns whether [ip] is the address of a known host of the fleet. */
    fun isHost(ip: String): Boolean = fleet.hosts().any { it.ip == ip }

    /** Records that the connection to [worker] was lost before it responded to a peer's request that was sent at [sentAtMs]. */
    fun onRelayedRequestLost(
        nowMs: Long,
        sentAtMs: Long,
        worker: WorkerEntry,
        fingerprint: RequestFingerprint,
    ) = crashingRequests.onLost(nowMs, sentAtMs, worker, fingerprint)

    /** Returns the time in milliseconds for which changes of the store are collected before they are applied. */
    fun changeBatchMs(): Long = fleet.changeBatchMs()

    /** Returns the peers to which this host sends its reports. */
    fun peers(): List<EntryHostInfo> = fleet.peers()

    /** Returns the latest reports of the peers that are considered alive. */
    fun livePeers(nowMs: Long): List<PeerReport> = fleet.livePeers(nowMs)

    /** Returns the hosts that callers of [region] should use; [isServing] states whether this host serves requests. */
    fun servingHosts(
        nowMs: Long,
        region: String,
        isServing: Boolean,
    ): List<EntryHostInfo> = fleet.servingHosts(nowMs, region, isServing, isCutOff)

    /** Returns this host's demand by workspace, in requests per second, to be reported to peers. */
    fun demandPerS(nowMs: Long): Map<WorkspaceTag, Double> = rateLimiter.demandPerS(nowMs)

    /** Returns the part of [demandPerS] that is reported to [peer]. */
    fun demandFor(
        peer: EntryHostInfo,
        demandPerS: Map<WorkspaceTag, Double>,
    ): Map<WorkspaceTag, Double> = rateLimiter.demandFor(peer, demandPerS)

    /** Returns this host's shares of the workspaces' rate limits in thousandths, to be reported to peers. */
    fun sharesPerMille(): Map<WorkspaceTag, Int> = rateLimiter.sharesPerMille()

    /** Returns this host's own observations of the rates that workers take, to be reported to peers. */
    fun workerLimits(nowMs: Long): Map<WorkerTag, WorkerLimitObservation> = workerLimits.ownObservations(nowMs)

    /** Returns what this host knows of requests under which workers have ended, to be reported to peers. */
    fun crashReport(nowMs: Long): CrashReport = crashingRequests.report(nowMs)

    /** Returns the names of the peers without a fresh report. */
    fun stalePeers(nowMs: Long): List<String> = fleet.stalePeers(nowMs)

    /** Returns whether this host has lost contact with so many peers that it uses only its even share of each rate limit. */
    fun isIsolated(nowMs: Long): Boolean = fleet.isIsolated(nowMs)

    /** Returns the time between two reports to peers in milliseconds. */
    fun reportIntervalMs(): Long = fleet.reportIntervalMs()

    /** Recomputes this host's shares of the rate limits and of the workers' limits; must be called several times per second. */
    fun tick(nowMs: Long) {
        rateLimiter.rebalance(nowMs)
        workers.updateLimits(nowMs, fleet.hostNames())
        workerLimits.updateParts(nowMs)
        crashingRequests.tick(nowMs)
        reach.tick(nowMs, state.workers.values) { fleet.reachingPeers(nowMs).map { it.ageMs } }
    }

    /** Resolves the route and workspace of a request for [host] and [path] that came with [key], or without one if it is null. */
    fun resolve(
        host: String,
        path: String,
        key: String?,
    ): RouteResolution {
        val desired = state.desired ?: return RouteResolution.NotReady
        val route = routes.match(host, path) ?: return RouteResolution.UnknownRoute
        val workspace = key?.let { workspacesByKey[it] }
        val needsKey = !route.isPublic && desired.isKeyRequired
        return if (needsKey && workspace == null) RouteResolution.UnknownKey else RouteResolution.Resolved(route, workspace)
    }

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
    ): Pair<TrafficRequest?, RequestAction> {
        crashingRequests.quarantinedForMs(nowMs, fingerprint)?.let { return null to RequestAction.Refuse(RefusalCause.QUARANTINED, it) }
        val route = resolved.route
        val maxTokenWaitMs = (route.targetLatencyMs * TOKEN_WAIT_FRACTION).toLong()
        val decision = resolved.workspace?.let { rateLimiter.take(nowMs, it.id, maxTokenWaitMs) } ?: RateLimitDecision.Granted
        if (decision is RateLimitDecision.Refused) {
            return null to RequestAction.Refuse(RefusalCause.RATE_LIMIT_EXCEEDED, decision.retryAfterMs)
        }
        val upstream = roundRobin.next(route) ?: return null to RequestAction.Refuse(RefusalCause.NO_WORKER, NO_WORKER_RETRY_AFTER_MS)
        val timeoutMs = min(route.timeoutMs ?: Long.MAX_VALUE, deadlineMs ?: DEFAULT_DEADLINE_MS)
        val requestHash = stableHash(requestId)
        val request =
            TrafficRequest(
                route = route,
                workspace = resolved.workspace,
                upstream = upstream,
                deadlineAtMs = nowMs + timeoutMs,
                tokenWaitEndsAtMs = nowMs + maxTokenWaitMs,
                affinityHash = if (affinityKey == null) requestHash else stableHash("${route.id.value}/$affinityKey"),
                hasAffinityKey = affinityKey != null,
                requestHash = requestHash,
                isCallerRetry = deadlineMs != null && callerRetries.isRetry(route.id, deadlineMs),
                priorityRank = priorities.indexOf(route.priority).coerceAtLeast(0),
                fingerprint = fingerprint,
            )
        return request to
            (if (decision is RateLimitDecision.Pending) waitForTokens(request, decision) else next(nowMs, request, lastFailure = null))
    }

    private fun waitForTokens(
        request: TrafficRequest,
        decision: RateLimitDecision.Pending,
    ): RequestAction.Wait {
        request.isWaiting = true
        return RequestAction.Wait(decision.afterMs)
    }

    /** Continues [request] after a [RequestAction.Wait]; each wait is continued once. */
    fun resume(
        nowMs: Long,
        request: TrafficRequest,
    ): RequestAction {
        check(request.isWaiting) { "request of route ${request.route.id} does not wait for tokens: continue each wait once" }
        request.isWaiting = false
        val maxWaitMs = request.tokenWaitEndsAtMs - nowMs
        val decision =
            request.workspace?.let { rateLimiter.takeAfterWait(nowMs, it.id, ++request.tokenWaits, maxWaitMs) }
                ?: RateLimitDecision.Granted
        return when (decision) {
            is RateLimitDecision.Refused -> RequestAction.Refuse(RefusalCause.RATE_LIMIT_EXCEEDED, decision.retryAfterMs)
            is RateLimitDecision.Pending -> waitForTokens(request, decision)
            is RateLimitDecision.Granted -> next(nowMs, request, lastFailure = null)
        }
    }

    /** Takes the tokens that this host lends for [request]; returns null if it has none to spare. */
    fun lend(
        nowMs: Long,
        request: LoanRequest,
    ): LoanGrant? = rateLimiter.lend(nowMs, request)

    /** Gives up this host's token pools, because it is about to stop. */
    fun leave(nowMs: Long) = rateLimiter.leave(nowMs)

    /** Adds the tokens that a peer has lent. */
    fun onLoan(
        nowMs: Long,
        grant: LoanGrant,
    ) = rateLimiter.onLoan(nowMs, grant)

    /** Records the [result] of the current attempt of [request] and returns the next action. */
    fun onResult(
        nowMs: Long,
        request: TrafficRequest,
        result: AttemptResult,
    ): RequestAction {
        val attempt =
            checkNotNull(request.currentAttempt) {
                "request of route ${request.route.id} has no attempt in progress: report exactly one result per attempt"
            }
        request.currentAttempt = null
        val worker = attempt.worker
        finishAttempt(attempt)
        if (result.isNotRun) request.possibleExecutions--
        val mayLift = result is AttemptResult.Answered && result.status < SERVER_ERROR
        workerLimits.onResponse(nowMs, attempt.sentAtMs, worker.entry, result.rateLimit, mayLift)
        recordCrashSigns(nowMs, request, attempt, result)
        if (result is AttemptResult.Answered || result is AttemptResult.Shed) worker.onOwnAnswer()
        return when (result) {
            is AttemptResult.Answered -> {
                result.load?.let { worker.onLoadReport(nowMs, it.running, it.waiting) }
                onAnswered(nowMs, request, attempt, result.status)
            }
            is AttemptResult.Shed -> {
                result.load?.let { worker.onLoadReport(nowMs, it.running, it.waiting) }
                worker.onShed(nowMs)
                retryUnexecuted(nowMs, request, isBudgetExempt = false)
            }
            is AttemptResult.RelayFailed -> {
                attempt.relay?.let { relays.onFailed(nowMs, it) }
                request.triedWorkers -= worker.entry.id
                retryUnexecuted(nowMs, request, isBudgetExempt = true)
            }
            is AttemptResult.Unreachable -> {
                if (attempt.relay == null) reach.onConnectFailed(nowMs, worker.entry.id)
                worker.onFailed(nowMs, isUnreachable = true)
                retryUnexecuted(nowMs, request, isBudgetExempt = true)
            }
            is AttemptResult.Misdirected -> {
                worker.onMisdirected(nowMs)
                retryUnexecuted(nowMs, request, isBudgetExempt = false)
            }
            is AttemptResult.Unknown -> {
                worker.onFailed(nowMs, isUnreachable = false)
                onUnknown(nowMs, request, result)
            }
        }
    }

    /** Ends a request that a worker may have run, or sends it to another worker if its route is idempotent. */
    private fun onUnknown(
        nowMs: Long,
        request: TrafficRequest,
        result: AttemptResult.Unknown,
    ): RequestAction {
        if (result.isConnectionLost) request.lostAttempts++
        val failure = RequestAction.Fail(result.detail)
        return if (request.route.isIdempotent && !mayCrashWorkers(request)) next(nowMs, request, failure) else failure
    }

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
    ) {
        val attempt = request.currentAttempt ?: return
        request.currentAttempt = null
        finishAttempt(attempt)
        if (result != null) recordCrashSigns(nowMs, request, attempt, result)
        if (isWorkerSlow) {
            attempt.relay?.let { relays.onFailed(nowMs, it) }
            placement.onTimedOut(nowMs, request.route, attempt.worker, attempt.wasCached, (nowMs - attempt.sentAtMs).toDouble())
        }
    }

    private fun finishAttempt(attempt: TrafficRequest.Attempt) {
        attempt.worker.onFinished(attempt.sentAtMs)
        attempt.relay?.let { relays.onFinished(it) }
    }

    /** Records what the [result] of [attempt] says about whether the worker's process has ended. */
    private fun recordCrashSigns(
        nowMs: Long,
        request: TrafficRequest,
        attempt: TrafficRequest.Attempt,
        result: AttemptResult,
    ) {
        val worker = attempt.worker
        when (result) {
            // A failure may come from another layer, and without the request having been run.
            is AttemptResult.Answered -> if (result.status < SERVER_ERROR) crashingRequests.onCompleted(nowMs, request.fingerprint)
            is AttemptResult.Unreachable -> if (result.isRefused && !isCutOff) crashingRequests.onRefused(nowMs, worker.entry)
            is AttemptResult.Unknown ->
                if (result.isConnectionLost && isExpectedToRun(worker)) {
                    crashingRequests.onLost(nowMs, attempt.sentAtMs, worker.entry, request.fingerprint)
                }
            is AttemptResult.Shed, is AttemptResult.Misdirected, is AttemptResult.RelayFailed -> Unit
        }
    }

    /** Returns whether the process of [worker] has not been announced to end: its entry is there and not draining. */
    private fun isExpectedToRun(worker: TrackedWorker): Boolean {
        val entry = state.workers[worker.entry.id] ?: return false
        return !worker.isLeaving && !worker.isMisdirected && entry.startedAtMs == worker.entry.startedAtMs
    }

    /** Returns whether [request] should not be sent to another worker, because it may have ended those to which it was sent. */
    private fun mayCrashWorkers(request: TrafficRequest): Boolean =
        request.lostAttempts >= MAX_LOST_ATTEMPTS || (request.lostAttempts > 0 && crashingRequests.isSuspected(request.fingerprint))

    private fun onAnswered(
        nowMs: Long,
        request: TrafficRequest,
        attempt: TrafficRequest.Attempt,
        status: Int,
    ): RequestAction {
        val durationMs = (nowMs - attempt.sentAtMs).toDouble()
        val saysNotRun = status in notRunStatuses
        if (status < SERVER_ERROR && !saysNotRun) {
            placement.onAnswered(nowMs, request.route, attempt.worker, attempt.wasCached, attempt.hadFreeSlot, durationMs)
            return RequestAction.Deliver
        }
        attempt.worker.onFailed(nowMs, isUnreachable = false)
        // To the caller such a status would promise that the request has not run, which the worker has not stated.
        val ending = if (saysNotRun) RequestAction.Fail("the worker answered $status") else RequestAction.Deliver
        return if (request.route.isIdempotent) next(nowMs, request, ending) else ending
    }

    /** Retries a request that its last worker did not execute; another worker may get it even if the route is not idempotent. */
    private fun retryUnexecuted(
        nowMs: Long,
        request: TrafficRequest,
        isBudgetExempt: Boolean,
    ): RequestAction {
        val mayHaveExecuted = request.possibleExecutions > 0
        val lastFailure = if (mayHaveExecuted) RequestAction.Fail("an earlier sending may have run") else null
        return next(nowMs, request, lastFailure, isBudgetExempt)
    }

    /**
     * Chooses a worker for the next attempt of [request].
     *
     * A request that cannot be sent ends with [lastFailure], or is refused if that is null. An attempt with [isBudgetExempt] takes no retry
     * from the budget.
     */
    private fun next(
        nowMs: Long,
        request: TrafficRequest,
        lastFailure: RequestAction?,
        isBudgetExempt: Boolean = false,
    ): RequestAction {
        val isExhausted =
            request.possibleExecutions >= request.route.maxAttempts || request.attempts >= request.route.maxAttempts + EXTRA_ATTEMPTS
        crashingRequests.quarantinedForMs(nowMs, request.fingerprint)?.let {
            return lastFailure ?: refuse(nowMs, request, RefusalCause.QUARANTINED, it)
        }
        if (isExhausted) return lastFailure ?: refuse(nowMs, request, RefusalCause.RETRIES_EXHAUSTED, DEFAULT_RETRY_AFTER_MS)
        val query = queryOf(nowMs, request)
        if (query.timeLeftMs < MIN_TIME_LEFT_MS) return lastFailure ?: refuse(nowMs, request, RefusalCause.TOO_LATE, DEFAULT_RETRY_AFTER_MS)
        return when (val choice = placement.choose(nowMs, query)) {
            is PlacementChoice.NoWorker -> lastFailure ?: refuse(nowMs, request, RefusalCause.NO_WORKER, NO_WORKER_RETRY_AFTER_MS)
            is PlacementChoice.NoCapacity -> lastFailure ?: refuse(nowMs, request, RefusalCause.NO_CAPACITY, choice.retryAfterMs)
            is PlacementChoice.Chosen ->
                if (maySend(nowMs, request, isBudgetExempt)) {
                    send(nowMs, request, query, choice)
                } else {
                    lastFailure ?: refuse(nowMs, request, RefusalCause.RETRIES_EXHAUSTED, DEFAULT_RETRY_AFTER_MS)
                }
        }
    }

    private fun maySend(
        nowMs: Long,
        request: TrafficRequest,
        isBudgetExempt: Boolean,
    ): Boolean = request.attempts == 0 || isBudgetExempt || retryBudget.tryTake(nowMs, request.upstream, fleet.size())

    private fun send(
        nowMs: Long,
        request: TrafficRequest,
        query: PlacementQuery,
        choice: PlacementChoice.Chosen,
    ): RequestAction.Send {
        check(request.currentAttempt == null) { "request of route ${request.route.id} is being sent: wait for the result of its attempt" }
        val worker = choice.worker
        val relay = if (isCutOff) chooseRelay(nowMs, query, worker) else null
        relay?.let { relays.onSent(it.host) }
        if (request.attempts == 0) retryBudget.onFirstAttempt(nowMs, request.upstream, fleet.size())
        request.currentAttempt =
            TrafficRequest.Attempt(
                worker,
                query,
                nowMs,
                wasCached = query.hasAffinityKey && worker.hasCached(query.affinityHash),
                hadFreeSlot = choice.waitMs == 0.0,
                relay = relay?.host,
            )
        request.attempts++
        request.possibleExecutions++
        request.triedWorkers += worker.entry.id
        placement.onSent(nowMs, query, worker)
        val maxConnectionIdleMs = if (request.route.isIdempotent) Long.MAX_VALUE else MAX_IDLE_IF_NOT_IDEMPOTENT_MS
        return RequestAction.Send(
            worker,
            query.timeLeftMs,
            maxConnectionIdleMs,
            maxIdleConnections = worker.connectionLimit - worker.inFlight,
            relay = relay?.sender,
        )
    }

    private fun chooseRelay(
        nowMs: Long,
        query: PlacementQuery,
        worker: TrackedWorker,
    ): PeerReport? {
        val workerRegion = settings.regionByZone[worker.entry.availabilityZone]
        val reaching = fleet.reachingPeers(nowMs).filter { it.ageMs <= settings.reach.peerReachMaxAgeMs }.map { it.report }
        return relays.choose(nowMs, reaching, workerRegion, query.homeRegions)
    }

    private fun refuse(
        nowMs: Long,
        request: TrafficRequest,
        cause: RefusalCause,
        retryAfterMs: Long,
    ): RequestAction.Refuse {
        // The token of a request that was never sent is not refunded: otherwise a workspace could exceed its rate endlessly.
        if (request.attempts > 0) request.workspace?.let { rateLimiter.refund(nowMs, it.id) }
        return RequestAction.Refuse(cause, retryAfterMs)
    }

    private fun queryOf(
        nowMs: Long,
        request: TrafficRequest,
    ) = PlacementQuery(
        route = request.route,
        upstream = request.upstream,
        affinityHash = request.affinityHash,
        hasAffinityKey = request.hasAffinityKey,
        requestHash = request.requestHash,
        isCallerRetry = request.isCallerRetry,
        homeRegions = homeRegionsOf(request.route, request.workspace),
        triedWorkers = request.triedWorkers,
        timeLeftMs = request.deadlineAtMs - nowMs,
        priorityRank = request.priorityRank,
    )

    /** Returns the regions in which a request may be executed, or null for all; the restrictions of route and workspace both apply. */
    private fun homeRegionsOf(
        route: TrafficRoute,
        workspace: Workspace?,
    ): Set<RegionId>? {
        val ofRoute = route.homeRegions.ifEmpty { null }
        val ofWorkspace = workspace?.homeRegions?.ifEmpty { null }
        return if (ofRoute != null && ofWorkspace != null) ofRoute intersect ofWorkspace else ofRoute ?: ofWorkspace
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Statuses by which callers are told that a request has not run: they come from this host alone, never from a worker. */
        val notRunStatuses = setOf(408, 421, 429, 503)

        /** Applies to callers that state no deadline; the platform's callers always do. */
        const val DEFAULT_DEADLINE_MS = 10_000L

        /** Fraction of a route's target latency for which a request may wait for rate tokens: enough is left to meet the target. */
        const val TOKEN_WAIT_FRACTION = 0.25

        /** Attempts beyond the route's maximum that are allowed if workers were unreachable or did not execute the request. */
        const val EXTRA_ATTEMPTS = 2

        /** Attempts of a request whose connection was lost without a response, after which it is sent to no other worker. */
        const val MAX_LOST_ATTEMPTS = 2

        /** No worker responds in less time. */
        const val MIN_TIME_LEFT_MS = 20L

        /** A request that is not idempotent reuses a connection only if a response within this time proved that it works. */
        const val MAX_IDLE_IF_NOT_IDEMPOTENT_MS = 1_000L
        const val NO_WORKER_RETRY_AFTER_MS = 1_000L
        const val DEFAULT_RETRY_AFTER_MS = 300L
    }
}

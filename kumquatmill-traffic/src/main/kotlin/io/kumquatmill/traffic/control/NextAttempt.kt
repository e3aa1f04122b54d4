package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.traffic.admission.CapacityAdmission
import io.kumquatmill.traffic.crash.CrashingRequests
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Workspace
import io.kumquatmill.traffic.placement.Placement
import io.kumquatmill.traffic.placement.PlacementChoice
import io.kumquatmill.traffic.placement.PlacementQuery
import io.kumquatmill.traffic.placement.PreviewedWorker
import io.kumquatmill.traffic.placement.TrackedWorker
import io.kumquatmill.traffic.ratelimit.WorkspaceRateLimiter
import io.kumquatmill.traffic.reach.RelayPeers
import io.kumquatmill.traffic.reach.WorkerReach
import io.kumquatmill.traffic.retry.RetryBudget
import kotlin.math.max

/** The next attempt: decides to which worker an admitted request is sent, through which peer, or how the request ends. */
internal class NextAttempt(
    private val settings: TrafficSettings,
    private val fleet: FleetView,
    private val rateLimiter: WorkspaceRateLimiter,
    private val placement: Placement,
    private val crashingRequests: CrashingRequests,
    private val reach: WorkerReach,
    private val relays: RelayPeers,
    private val capacity: CapacityAdmission,
) {
    private val retryBudget = RetryBudget(settings.retryRatio, settings.retryReserve, settings.retryWindowMs)

    /**
     * Chooses a worker for the next attempt of [request].
     *
     * A request that cannot be sent ends with [lastFailure], or is refused if that is null. An attempt with [isBudgetExempt] takes no retry
     * from the budget.
     */
    fun next(
        nowMs: Long,
        request: TrafficRequest,
        lastFailure: RequestAction?,
        isBudgetExempt: Boolean = false,
    ): RequestAction {
        val query = queryOf(nowMs, request)
        val quarantinedForMs = crashingRequests.quarantinedForMs(nowMs, request.fingerprint)
        refusalBeforeChoice(request, query, quarantinedForMs)?.let {
            return lastFailure ?: refuse(nowMs, request, refusalOf(nowMs, it, query, quarantinedForMs))
        }
        val choice = placement.choose(nowMs, query)
        recordDecision(nowMs, request, choice)
        return when (choice) {
            is PlacementChoice.None -> lastFailure ?: refuse(nowMs, request, refusalOf(choice))
            is PlacementChoice.Chosen ->
                if (maySend(nowMs, request, isBudgetExempt)) {
                    send(nowMs, request, query, choice)
                } else {
                    lastFailure ?: refuse(nowMs, request, RequestAction.Refuse(RefusalCause.RETRIES_EXHAUSTED, retryAfterMs(nowMs, query)))
                }
        }
    }

    /** Returns how [next] would decide on the first attempt of [request] now, without recording anything. */
    fun preview(
        nowMs: Long,
        request: TrafficRequest,
    ): PreviewedOutcome {
        val query = queryOf(nowMs, request).copy(isPreview = true)
        val quarantinedForMs = crashingRequests.peekQuarantinedForMs(nowMs, request.fingerprint)
        refusalBeforeChoice(request, query, quarantinedForMs)?.let {
            return PreviewedOutcome.Refused(refusalOf(nowMs, it, query, quarantinedForMs))
        }
        return when (val choice = placement.choose(nowMs, query)) {
            is PlacementChoice.None -> PreviewedOutcome.Refused(refusalOf(choice))
            is PlacementChoice.Chosen -> PreviewedOutcome.Sent(choice, isHostCutOff = reach.isCutOff)
        }
    }

    /** Returns all workers of the upstream of [request], which was not sent yet, as the next attempt sees them. */
    fun previewWorkers(
        nowMs: Long,
        request: TrafficRequest,
    ): List<PreviewedWorker> = placement.preview(nowMs, queryOf(nowMs, request).copy(isPreview = true))

    /** Returns why a [request] is refused before a worker is chosen, or null if it may be sent. */
    private fun refusalBeforeChoice(
        request: TrafficRequest,
        query: PlacementQuery,
        quarantinedForMs: Long?,
    ): RefusalCause? {
        val isExhausted =
            request.possibleExecutions >= request.route.maxAttempts || request.attempts >= request.route.maxAttempts + EXTRA_ATTEMPTS
        return when {
            quarantinedForMs != null -> RefusalCause.QUARANTINED
            isExhausted -> RefusalCause.RETRIES_EXHAUSTED
            query.timeLeftMs < MIN_TIME_LEFT_MS -> RefusalCause.TOO_LATE
            else -> null
        }
    }

    private fun refusalOf(
        nowMs: Long,
        cause: RefusalCause,
        query: PlacementQuery,
        quarantinedForMs: Long?,
    ) = RequestAction.Refuse(cause, quarantinedForMs ?: retryAfterMs(nowMs, query))

    private fun refusalOf(choice: PlacementChoice.None): RequestAction.Refuse =
        when (choice) {
            is PlacementChoice.NoWorker -> RequestAction.Refuse(RefusalCause.NO_WORKER, NO_WORKER_RETRY_AFTER_MS)
            is PlacementChoice.NoCapacity -> RequestAction.Refuse(RefusalCause.NO_CAPACITY, choice.retryAfterMs)
        }

    /** Records the decision of the admission by cost on a request that arrives; further attempts are no new demand. */
    private fun recordDecision(
        nowMs: Long,
        request: TrafficRequest,
        choice: PlacementChoice,
    ) {
        val byCost = request.admission?.takeIf { request.attempts == 0 } ?: return
        when (choice) {
            is PlacementChoice.Chosen -> capacity.onServed(nowMs, byCost, choice.serviceMs)
            is PlacementChoice.NoCapacity -> capacity.onRefused(nowMs, byCost)
            is PlacementChoice.NoWorker -> Unit
        }
    }

    /** Returns when to retry a request that was not refused for its workers; if they all want a pause, not before one of them ends. */
    private fun retryAfterMs(
        nowMs: Long,
        query: PlacementQuery,
    ): Long = max(DEFAULT_RETRY_AFTER_MS, placement.pausedMs(nowMs, query) ?: 0)

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
        val relay = if (reach.isCutOff) chooseRelay(nowMs, query, worker) else null
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
        refusal: RequestAction.Refuse,
    ): RequestAction.Refuse {
        // The token of a request that was never sent is not refunded: otherwise a workspace could exceed its rate endlessly.
        if (request.attempts > 0) request.workspace?.let { rateLimiter.refund(nowMs, it.id) }
        return refusal
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
        admission = request.admission,
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
        /** Attempts beyond the route's maximum that are allowed if workers were unreachable or did not execute the request. */
        const val EXTRA_ATTEMPTS = 2

        /** No worker responds in less time. */
        const val MIN_TIME_LEFT_MS = 20L

        /** A request that is not idempotent reuses a connection only if a response within this time proved that it works. */
        const val MAX_IDLE_IF_NOT_IDEMPOTENT_MS = 1_000L
        const val NO_WORKER_RETRY_AFTER_MS = 1_000L
        const val DEFAULT_RETRY_AFTER_MS = 300L
    }
}

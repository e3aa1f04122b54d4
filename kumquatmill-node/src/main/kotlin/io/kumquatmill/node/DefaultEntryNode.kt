package io.kumquatmill.node

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.limits.ledger.Holding
import io.kumquatmill.membership.MembershipLifecycle
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.node.effect.DecisionKind
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.node.limit.RequestLimiter
import io.kumquatmill.node.limit.shiftLimitId
import io.kumquatmill.node.request.Admission
import io.kumquatmill.node.request.AttemptAccounting
import io.kumquatmill.node.request.AttemptTimeouts
import io.kumquatmill.node.request.Dispatcher
import io.kumquatmill.node.request.HostReadiness
import io.kumquatmill.node.request.RequestProcessor
import io.kumquatmill.node.request.RequestQueues
import io.kumquatmill.node.request.RequestTable
import io.kumquatmill.node.steering.HostLookup
import io.kumquatmill.routing.health.HealthChange
import io.kumquatmill.routing.health.WorkerLoad
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.idempotency.IdempotencyRegistry
import io.kumquatmill.routing.queue.ServiceTimes
import io.kumquatmill.routing.region.RegionSelector
import io.kumquatmill.routing.region.ResponseSizes
import io.kumquatmill.routing.retry.RetryBudget
import io.kumquatmill.routing.retry.RetryPolicy
import io.kumquatmill.routing.route.RouteTable
import io.kumquatmill.routing.shift.ShiftLimiters
import io.kumquatmill.routing.worker.WorkerSelector
import io.kumquatmill.store.HostListState
import kotlin.random.Random

/**
 * The [EntryNode] that the daemon runs.
 *
 * ```
 * val node = DefaultEntryNode(settings, Random(seed))
 * node.handle(nowMs, NodeEvent.Tick).forEach(::execute)
 * ```
 */
class DefaultEntryNode(
    private val settings: NodeSettings,
    random: Random,
) : EntryNode {
    private val coordinator = FleetCoordinator(settings, Random(random.nextLong()))
    private val hostLookup = HostLookup(settings)
    private val shutdown = GracefulShutdown(settings.request)
    private val pool = WorkerPool(settings.topology.workers, Random(random.nextLong()), settings.health)
    private val limiter = RequestLimiter(coordinator.ledger)
    private var nowMs = 0L
    private val requests = createRequestProcessor(Random(random.nextLong()))
    private var hasExited = false
    private var appliedDrainRequests: Set<String> = emptySet()

    override fun handle(
        nowMs: Long,
        event: NodeEvent,
    ): List<NodeEffect> {
        this.nowMs = nowMs
        return when (event) {
            is NodeEvent.RequestArrived -> requests.onArrival(nowMs, event, coordinator.snapshot, readiness())
            is NodeEvent.RequestCancelled -> requests.onCancelled(nowMs, event, coordinator.snapshot)
            is NodeEvent.AttemptEnded -> requests.onAttemptEnded(nowMs, event, coordinator.snapshot) + healthChangeEffects()
            is NodeEvent.StoreCallEnded -> coordinator.onStoreCallEnded(nowMs, event)
            is NodeEvent.PeerMessageReceived -> coordinator.onPeerMessage(nowMs, event.envelope)
            is NodeEvent.HostListRead -> onHostList(event)
            is NodeEvent.LoadReported -> onLoadReport(event)
            is NodeEvent.Tick -> onTick()
            is NodeEvent.StopRequested -> onStopRequested()
        }
    }

    override fun lookUp(
        nowMs: Long,
        query: LookupQuery,
    ): LookupResult = hostLookup.lookUp(query)

    override fun status(nowMs: Long): NodeStatus =
        NodeStatus(
            host = settings.description.host,
            incarnation = coordinator.incarnation,
            lifecycle = lifecycle(),
            configurationRevision = coordinator.snapshot?.revision ?: 0,
            rosterEpoch = coordinator.standing(nowMs).roster?.epoch ?: 0,
            hasStanding = coordinator.standing(nowMs).isValid(nowMs),
            servesKeys = coordinator.standing(nowMs).isValid(nowMs) && coordinator.isConfigurationFresh(nowMs),
            inFlightRequests = requests.activeRequestCount - requests.queuedRequestCount,
            queuedRequests = requests.queuedRequestCount,
            shares = coordinator.ledger.holdings(nowMs).map { it.toStatus() },
        )

    private fun createRequestProcessor(random: Random): RequestProcessor {
        val table = RequestTable()
        val serviceTimes = ServiceTimes()
        val responseSizes = ResponseSizes()
        val retryBudget = RetryBudget(settings.retry)
        val timeouts = AttemptTimeouts(serviceTimes, settings.retry)
        val upstreams =
            settings.topology.routes
                .map { it.upstream }
                .toSet()
        return RequestProcessor(
            settings = settings.request,
            table = table,
            admission = Admission(RouteTable(settings.topology.routes)),
            dispatcher = Dispatcher(table, limiter, createRegionSelector(random), pool, responseSizes, retryBudget, timeouts),
            queues = RequestQueues(upstreams, settings.queue, settings.request, limiter, serviceTimes),
            retryPolicy = RetryPolicy(retryBudget, settings.retry),
            attemptAccounting =
                AttemptAccounting(
                    settings.description.region,
                    settings.request,
                    limiter,
                    pool,
                    serviceTimes,
                    responseSizes,
                ),
            idempotency = IdempotencyRegistry(settings.idempotency),
        )
    }

    private fun createRegionSelector(random: Random): RegionSelector {
        val description = settings.description
        val selector = WorkerSelector(pool, random, { usableSlots(it.id) }, settings.selection)
        val shiftLimiters = ShiftLimiters(settings.topology.shiftCap) { from, to -> limiter.usableFraction(nowMs, shiftLimitId(from, to)) }
        return RegionSelector(description.region, description.availabilityZone, settings.topology.links, pool, selector, shiftLimiters)
    }

    private fun usableSlots(worker: WorkerId): Int = limiter.usableSlots(nowMs, worker)

    private fun onTick(): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        effects += coordinator.onTick(nowMs)
        hostLookup.update(coordinator.hosts, coordinator.snapshot)
        pool.expireDrains(nowMs)
        effects += applyDrainRequests()
        effects += requests.onTick(nowMs, coordinator.snapshot)
        effects += healthChangeEffects()
        effects += continueShutdown()
        return effects
    }

    private fun onHostList(event: NodeEvent.HostListRead): List<NodeEffect> {
        val byState = event.entries.groupBy({ it.state }, { it.host })
        val live = byState[HostListState.LIVE].orEmpty().toSet()
        val leaving = byState[HostListState.LEAVING].orEmpty().toSet()
        pool.onHostList(nowMs, live, leaving)
        return coordinator.onHostList(nowMs, event) + healthChangeEffects()
    }

    private fun applyDrainRequests(): List<NodeEffect> {
        val requested = coordinator.drainRequests
        if (requested == appliedDrainRequests) return emptyList()
        appliedDrainRequests = requested
        pool.onOperatorDrains(nowMs, requested)
        val isOwnDrain = settings.description.host.value in requested && !shutdown.isStarted
        return if (isOwnDrain) onStopRequested() else emptyList()
    }

    private fun onStopRequested(): List<NodeEffect> {
        shutdown.start(nowMs)
        return coordinator.leave(nowMs) + logEntry(DecisionKind.DRAIN, "this host was asked to stop")
    }

    private fun continueShutdown(): List<NodeEffect> {
        if (shutdown.startHandOverIfDue(nowMs, requests.activeRequestCount)) {
            return coordinator.handOver(nowMs) +
                logEntry(DecisionKind.DRAIN, "all requests have ended, shares are handed over")
        }
        val hasLeft = coordinator.lifecycle == MembershipLifecycle.LEFT
        if (!hasLeft || hasExited) return emptyList()
        hasExited = true
        return listOf(NodeEffect.Exit)
    }

    private fun onLoadReport(event: NodeEvent.LoadReported): List<NodeEffect> {
        val report = event.report
        pool.onLoadReport(nowMs, event.worker, WorkerLoad(report.busySlots, report.isHealthy, report.isDraining, nowMs))
        return healthChangeEffects()
    }

    private fun readiness(): HostReadiness =
        HostReadiness(
            isStopping = shutdown.refusesNewRequests(nowMs),
            isStarting = isJoining(),
            hasStanding = coordinator.standing(nowMs).isValid(nowMs),
            isConfigurationFresh = coordinator.isConfigurationFresh(nowMs),
        )

    private fun isJoining(): Boolean =
        coordinator.lifecycle == MembershipLifecycle.STARTING || coordinator.lifecycle == MembershipLifecycle.JOINING

    private fun lifecycle(): Lifecycle =
        when {
            coordinator.lifecycle == MembershipLifecycle.LEFT -> Lifecycle.STOPPED
            shutdown.isStarted -> Lifecycle.DRAINING
            isJoining() || coordinator.snapshot == null -> Lifecycle.STARTING
            else -> Lifecycle.LIVE
        }

    private fun healthChangeEffects(): List<NodeEffect> = pool.takeChanges().map { NodeEffect.LogDecision(it.toDecision()) }

    private fun logEntry(
        kind: DecisionKind,
        reason: String,
    ) = NodeEffect.LogDecision(Decision(kind, reason))
}

private fun Holding.toStatus() = ShareStatus(limit.value, units, totalUnits)

private fun HealthChange.toDecision(): Decision =
    when (this) {
        is HealthChange.Ejected -> Decision(DecisionKind.EJECT, "ejected: $cause", worker = worker)
        is HealthChange.Reinstated -> Decision(DecisionKind.EJECT, "returned after a probe", worker = worker)
        is HealthChange.DrainStarted -> Decision(DecisionKind.DRAIN, "leaving, by its $source", worker = worker)
        is HealthChange.DrainEnded -> Decision(DecisionKind.DRAIN, "no longer leaving", worker = worker)
    }

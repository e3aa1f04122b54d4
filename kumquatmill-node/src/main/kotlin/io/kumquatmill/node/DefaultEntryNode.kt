package io.kumquatmill.node

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.limits.ledger.Holding
import io.kumquatmill.membership.MembershipLifecycle
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.node.effect.DecisionKind
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.node.limit.LedgerDesk
import io.kumquatmill.node.limit.shiftLimit
import io.kumquatmill.node.request.Admission
import io.kumquatmill.node.request.AttemptBooks
import io.kumquatmill.node.request.AttemptTimeouts
import io.kumquatmill.node.request.Dispatcher
import io.kumquatmill.node.request.HostFitness
import io.kumquatmill.node.request.RequestDesk
import io.kumquatmill.node.request.RequestQueues
import io.kumquatmill.node.request.RequestTable
import io.kumquatmill.node.steering.LookUpDesk
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
 * The [EntryNode] of the daemon, composed of the parts of the library.
 *
 * ```
 * val node = DefaultEntryNode(settings, Random(seed))
 * node.handle(nowMs, NodeEvent.Tick).forEach(::carryOut)
 * ```
 */
class DefaultEntryNode(
    private val settings: NodeSettings,
    random: Random,
) : EntryNode {
    private val coordination = Coordination(settings, Random(random.nextLong()))
    private val lookUps = LookUpDesk(settings)
    private val stop = PlannedStop(settings.request)
    private val pool = WorkerPool(settings.topology.workers, Random(random.nextLong()), settings.health)
    private val ledgerDesk = LedgerDesk(coordination.ledger)
    private var nowMs = 0L
    private val requests = requestDesk(Random(random.nextLong()))
    private var hasExited = false
    private var drainRequests: Set<String> = emptySet()

    override fun handle(
        nowMs: Long,
        event: NodeEvent,
    ): List<NodeEffect> {
        this.nowMs = nowMs
        return when (event) {
            is NodeEvent.RequestArrived -> requests.arrive(nowMs, event, coordination.snapshot, fitness())
            is NodeEvent.RequestCancelled -> requests.cancel(nowMs, event, coordination.snapshot)
            is NodeEvent.AttemptEnded -> requests.endAttempt(nowMs, event, coordination.snapshot) + healthChanges()
            is NodeEvent.StoreCallEnded -> coordination.onStoreCallEnded(nowMs, event)
            is NodeEvent.PeerMessageReceived -> coordination.onPeerMessage(nowMs, event.envelope)
            is NodeEvent.HostListRead -> onHostList(event)
            is NodeEvent.LoadReported -> onLoadReport(event)
            is NodeEvent.Tick -> onTick()
            is NodeEvent.StopRequested -> onStop()
        }
    }

    override fun lookUp(
        nowMs: Long,
        query: LookUpQuery,
    ): LookUpAnswer = lookUps.lookUp(query)

    override fun status(nowMs: Long): NodeStatus =
        NodeStatus(
            host = settings.description.host,
            incarnation = coordination.incarnation,
            lifecycle = lifecycle(),
            configurationRevision = coordination.snapshot?.revision ?: 0,
            rosterEpoch = coordination.standing(nowMs).roster?.epoch ?: 0,
            hasStanding = coordination.standing(nowMs).isValid(nowMs),
            servesKeys = coordination.standing(nowMs).isValid(nowMs) && coordination.isConfigurationFresh(nowMs),
            inFlightRequests = requests.openRequests - requests.queuedRequests,
            queuedRequests = requests.queuedRequests,
            shares = coordination.ledger.holdings(nowMs).map { it.toStatus() },
        )

    private fun requestDesk(random: Random): RequestDesk {
        val table = RequestTable()
        val serviceTimes = ServiceTimes()
        val answerSizes = ResponseSizes()
        val retryBudget = RetryBudget(settings.retry)
        val timeouts = AttemptTimeouts(serviceTimes, settings.retry)
        val upstreams =
            settings.topology.routes
                .map { it.upstream }
                .toSet()
        return RequestDesk(
            settings = settings.request,
            table = table,
            admission = Admission(RouteTable(settings.topology.routes)),
            dispatcher = Dispatcher(table, ledgerDesk, regionChooser(random), pool, answerSizes, retryBudget, timeouts),
            queues = RequestQueues(upstreams, settings.queue, settings.request, ledgerDesk, serviceTimes),
            retryPolicy = RetryPolicy(retryBudget, settings.retry),
            attempts = AttemptBooks(settings.description.region, settings.request, ledgerDesk, pool, serviceTimes, answerSizes),
            idempotency = IdempotencyRegistry(settings.idempotency),
        )
    }

    private fun regionChooser(random: Random): RegionSelector {
        val description = settings.description
        val selector = WorkerSelector(pool, random, { heldSlots(it.id) }, settings.selection)
        val ramps = ShiftLimiters(settings.topology.shiftCap) { from, to -> ledgerDesk.part(nowMs, shiftLimit(from, to)) }
        return RegionSelector(description.region, description.availabilityZone, settings.topology.links, pool, selector, ramps)
    }

    private fun heldSlots(worker: WorkerId): Int = ledgerDesk.heldSlots(nowMs, worker)

    private fun onTick(): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        effects += coordination.tick(nowMs)
        lookUps.update(coordination.hosts, coordination.snapshot)
        pool.expireDrains(nowMs)
        effects += followDrainRequests()
        effects += requests.tick(nowMs, coordination.snapshot)
        effects += healthChanges()
        effects += continueStop()
        return effects
    }

    private fun onHostList(event: NodeEvent.HostListRead): List<NodeEffect> {
        val byState = event.entries.groupBy({ it.state }, { it.host })
        val live = byState[HostListState.LIVE].orEmpty().toSet()
        val leaving = byState[HostListState.LEAVING].orEmpty().toSet()
        pool.onHostList(nowMs, live, leaving)
        return coordination.onHostList(nowMs, event) + healthChanges()
    }

    private fun followDrainRequests(): List<NodeEffect> {
        val names = coordination.drainRequests
        if (names == drainRequests) return emptyList()
        drainRequests = names
        pool.onOperatorDrains(nowMs, names)
        val isOwnDrain = settings.description.host.value in names && !stop.isStarted
        return if (isOwnDrain) onStop() else emptyList()
    }

    private fun onStop(): List<NodeEffect> {
        stop.start(nowMs)
        return coordination.leave(nowMs) + log(DecisionKind.DRAIN, "this host was asked to stop")
    }

    private fun continueStop(): List<NodeEffect> {
        if (stop.isDepartureDue(nowMs, requests.openRequests)) {
            return coordination.depart(nowMs) + log(DecisionKind.DRAIN, "all requests have ended, shares are handed over")
        }
        val hasLeft = coordination.lifecycle == MembershipLifecycle.LEFT
        if (!hasLeft || hasExited) return emptyList()
        hasExited = true
        return listOf(NodeEffect.Exit)
    }

    private fun onLoadReport(event: NodeEvent.LoadReported): List<NodeEffect> {
        val report = event.report
        pool.onLoadReport(nowMs, event.worker, WorkerLoad(report.busySlots, report.isHealthy, report.isDraining, nowMs))
        return healthChanges()
    }

    private fun fitness(): HostFitness =
        HostFitness(
            isStopping = stop.refusesRequests(nowMs),
            isStarting = isJoining(),
            hasStanding = coordination.standing(nowMs).isValid(nowMs),
            isConfigurationFresh = coordination.isConfigurationFresh(nowMs),
        )

    private fun isJoining(): Boolean =
        coordination.lifecycle == MembershipLifecycle.STARTING || coordination.lifecycle == MembershipLifecycle.JOINING

    private fun lifecycle(): Lifecycle =
        when {
            coordination.lifecycle == MembershipLifecycle.LEFT -> Lifecycle.STOPPED
            stop.isStarted -> Lifecycle.DRAINING
            isJoining() || coordination.snapshot == null -> Lifecycle.STARTING
            else -> Lifecycle.LIVE
        }

    private fun healthChanges(): List<NodeEffect> = pool.takeChanges().map { NodeEffect.LogDecision(it.toDecision()) }

    private fun log(
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

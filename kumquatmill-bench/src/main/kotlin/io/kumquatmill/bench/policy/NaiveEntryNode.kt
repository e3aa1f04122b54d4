package io.kumquatmill.bench.policy

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.configuration.current.CurrentConfiguration
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.node.EntryHost
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.Lifecycle
import io.kumquatmill.node.LookupQuery
import io.kumquatmill.node.LookupResult
import io.kumquatmill.node.NodeStatus
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.LoadReport
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.routing.model.Route
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.routing.route.RouteMatch
import io.kumquatmill.routing.route.RouteTable
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.deployment.EntryHostPlacement
import io.kumquatmill.scenario.virtual.NodeFactory
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreReply

/** Creates nodes of the simple policy. */
internal fun naiveNodes(): NodeFactory = NodeFactory { deployment, place, _, _ -> NaiveEntryNode(deployment, place) }

/**
 * Simple policy: each host has its part of each rate, goes round robin over the workers and believes their load reports.
 *
 * It reads the lists from the store once a second, and takes part in nothing between hosts.
 */
internal class NaiveEntryNode(
    private val deployment: Deployment,
    private val place: EntryHostPlacement,
) : EntryNode {
    private val register = CurrentConfiguration()
    private val routes = RouteTable(deployment.topology.routes)
    private val workersOf = deployment.topology.workers.groupBy { it.upstream }
    private val reports = HashMap<WorkerId, LoadReport>()
    private val buckets = HashMap<WorkspaceId, HostBucket>()
    private val open = HashMap<AttemptId, OpenAttempt>()
    private val next = HashMap<UpstreamId, Int>()
    private var lastAttempt = 0L
    private var lastCall = 0L
    private var nextReadMs = 0L

    override fun handle(
        nowMs: Long,
        event: NodeEvent,
    ): List<NodeEffect> =
        when (event) {
            is NodeEvent.Tick -> readLists(nowMs)
            is NodeEvent.StoreCallEnded -> emptyList<NodeEffect>().also { takeLists(event) }
            is NodeEvent.LoadReported -> emptyList<NodeEffect>().also { reports[event.worker] = event.report }
            is NodeEvent.RequestArrived -> arrive(nowMs, event)
            is NodeEvent.AttemptEnded -> end(event)
            is NodeEvent.StopRequested -> listOf(NodeEffect.Exit)
            is NodeEvent.RequestCancelled, is NodeEvent.PeerMessageReceived, is NodeEvent.HostListRead -> emptyList()
        }

    override fun lookUp(
        nowMs: Long,
        query: LookupQuery,
    ): LookupResult {
        val others = deployment.entryHosts.filter { it != place }.sortedBy { it.region != place.region }
        val hosts = (listOf(place) + others).map { EntryHost(it.host, it.region, ANY_ADDRESS) }
        return LookupResult.Found(hosts, emptyList(), CACHE_MS)
    }

    override fun status(nowMs: Long): NodeStatus =
        NodeStatus(
            host = place.host,
            incarnation = Incarnation(1),
            lifecycle = Lifecycle.LIVE,
            configurationRevision = register.revision,
            rosterEpoch = 0,
            hasStanding = true,
            servesKeys = true,
            inFlightRequests = open.size,
            queuedRequests = 0,
            shares = emptyList(),
        )

    private fun readLists(nowMs: Long): List<NodeEffect> {
        if (nowMs < nextReadMs) return emptyList()
        nextReadMs = nowMs + READ_INTERVAL_MS
        lastCall += 1
        return listOf(NodeEffect.CallStore(lastCall, StoreCall.Read(ConfigurationDocument.KEY)))
    }

    private fun takeLists(event: NodeEvent.StoreCallEnded) {
        val entry = (event.result.getOrNull() as? StoreReply.Entry)?.entry ?: return
        val isChanged = register.updateFromStore(entry.value, entry.revision).getOrNull() ?: false
        if (isChanged) buckets.clear()
    }

    private fun arrive(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
    ): List<NodeEffect> {
        val route = (routes.match(event.method, event.path) as? RouteMatch.Matched)?.route
        val workspace = event.keyHash?.let { register.snapshot?.workspaceOf(it) }
        return when {
            route == null -> refuse(event, RefusalReason.ROUTE_UNKNOWN)
            workspace == null && !route.isPublic -> refuse(event, RefusalReason.KEY_UNKNOWN)
            workspace != null && !bucketOf(workspace).tryTake(nowMs) -> refuse(event, RefusalReason.RATE_EXCEEDED)
            else -> forward(OpenAttempt(event, route, workspace, attempts = 1))
        }
    }

    private fun bucketOf(workspace: WorkspaceId): HostBucket =
        buckets.getOrPut(workspace) {
            val plan = register.snapshot?.planOf(workspace)
            val hosts = deployment.entryHosts.size
            HostBucket((plan?.ratePerS ?: 0.0) / hosts, (plan?.burst ?: 0).toDouble() / hosts)
        }

    private fun forward(attempt: OpenAttempt): List<NodeEffect> {
        val worker = nextWorker(attempt.route.upstream) ?: return refuse(attempt.event, RefusalReason.NO_CAPACITY)
        lastAttempt += 1
        val id = AttemptId(lastAttempt)
        open[id] = attempt
        val effect =
            NodeEffect.Forward(
                attempt = id,
                request = attempt.event.request,
                worker = worker.id,
                workspace = attempt.workspace,
                timeoutMs = attempt.route.deadlineMs,
                needsFreshConnection = false,
            )
        return listOf(effect)
    }

    private fun nextWorker(upstream: UpstreamId): Worker? {
        val workers = workersOf.getValue(upstream)
        val first = next.merge(upstream, 1, Int::plus) ?: 0
        return workers.indices.map { workers[(first + it) % workers.size] }.firstOrNull { it.seemsFree() }
    }

    private fun Worker.seemsFree(): Boolean {
        val report = reports[id] ?: return true
        return report.isHealthy && !report.isDraining && report.busySlots < slots
    }

    private fun end(event: NodeEvent.AttemptEnded): List<NodeEffect> {
        val attempt = open.remove(event.attempt) ?: return emptyList()
        val result = event.result
        val mayRepeat = attempt.attempts < MAX_ATTEMPTS && (result !is AttemptResult.Unknown || attempt.route.isIdempotent)
        return when {
            result is AttemptResult.Answered -> listOf(NodeEffect.RelayResponse(attempt.event.request, event.attempt))
            mayRepeat -> forward(attempt.copy(attempts = attempt.attempts + 1))
            result is AttemptResult.Unknown -> fail(attempt)
            else -> refuse(attempt.event, RefusalReason.NO_CAPACITY)
        }
    }

    private fun fail(attempt: OpenAttempt): List<NodeEffect> {
        val outcome = Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, RETRY_AFTER_MS)
        return listOf(NodeEffect.Refuse(attempt.event.request, outcome))
    }

    private fun refuse(
        event: NodeEvent.RequestArrived,
        reason: RefusalReason,
    ): List<NodeEffect> = listOf(NodeEffect.Refuse(event.request, Outcome.NotRun(reason, RETRY_AFTER_MS)))

    private data class OpenAttempt(
        val event: NodeEvent.RequestArrived,
        val route: Route,
        val workspace: WorkspaceId?,
        val attempts: Int,
    )

    private companion object {
        val ANY_ADDRESS = HostAddress("127.0.0.1", 8_080)
        const val CACHE_MS = 10_000L
        const val READ_INTERVAL_MS = 1_000L
        const val RETRY_AFTER_MS = 1_000L
        const val MAX_ATTEMPTS = 3
    }
}

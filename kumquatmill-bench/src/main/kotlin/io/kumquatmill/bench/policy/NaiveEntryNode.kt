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

/** Returns a factory of nodes with the simple policy. */
internal fun naiveNodeFactory(): NodeFactory = NodeFactory { deployment, place, _, _ -> NaiveEntryNode(deployment, place) }

/**
 * Simple policy: each host enforces an equal part of each rate and selects workers round robin.
 *
 * It skips workers whose load report says that they are unhealthy, draining or full. It reads the configuration from the store
 * once per second and does not coordinate with other hosts.
 */
internal class NaiveEntryNode(
    private val deployment: Deployment,
    private val place: EntryHostPlacement,
) : EntryNode {
    private val currentConfiguration = CurrentConfiguration()
    private val routes = RouteTable(deployment.topology.routes)
    private val workersByUpstream = deployment.topology.workers.groupBy { it.upstream }
    private val loadReports = HashMap<WorkerId, LoadReport>()
    private val buckets = HashMap<WorkspaceId, TokenBucket>()
    private val openAttempts = HashMap<AttemptId, OpenAttempt>()
    private val nextWorkerIndex = HashMap<UpstreamId, Int>()
    private var lastAttemptId = 0L
    private var lastStoreCallId = 0L
    private var nextReadMs = 0L

    override fun handle(
        nowMs: Long,
        event: NodeEvent,
    ): List<NodeEffect> =
        when (event) {
            is NodeEvent.Tick -> readConfiguration(nowMs)
            is NodeEvent.StoreCallEnded -> emptyList<NodeEffect>().also { applyConfiguration(event) }
            is NodeEvent.LoadReported -> emptyList<NodeEffect>().also { loadReports[event.worker] = event.report }
            is NodeEvent.RequestArrived -> onRequestArrived(nowMs, event)
            is NodeEvent.AttemptEnded -> onAttemptEnded(event)
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
            configurationRevision = currentConfiguration.revision,
            rosterEpoch = 0,
            hasStanding = true,
            servesKeys = true,
            inFlightRequests = openAttempts.size,
            queuedRequests = 0,
            shares = emptyList(),
        )

    private fun readConfiguration(nowMs: Long): List<NodeEffect> {
        if (nowMs < nextReadMs) return emptyList()
        nextReadMs = nowMs + READ_INTERVAL_MS
        lastStoreCallId += 1
        return listOf(NodeEffect.CallStore(lastStoreCallId, StoreCall.Read(ConfigurationDocument.KEY)))
    }

    private fun applyConfiguration(event: NodeEvent.StoreCallEnded) {
        val entry = (event.result.getOrNull() as? StoreReply.Entry)?.entry ?: return
        val isChanged = currentConfiguration.updateFromStore(entry.value, entry.revision).getOrNull() ?: false
        if (isChanged) buckets.clear()
    }

    private fun onRequestArrived(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
    ): List<NodeEffect> {
        val route = (routes.match(event.method, event.path) as? RouteMatch.Matched)?.route
        val workspace = event.keyHash?.let { currentConfiguration.snapshot?.workspaceOf(it) }
        return when {
            route == null -> refuse(event, RefusalReason.ROUTE_UNKNOWN)
            workspace == null && !route.isPublic -> refuse(event, RefusalReason.KEY_UNKNOWN)
            workspace != null && !bucketOf(workspace).tryTake(nowMs) -> refuse(event, RefusalReason.RATE_EXCEEDED)
            else -> forward(OpenAttempt(event, route, workspace, attempts = 1))
        }
    }

    private fun bucketOf(workspace: WorkspaceId): TokenBucket =
        buckets.getOrPut(workspace) {
            val plan = currentConfiguration.snapshot?.planOf(workspace)
            val hosts = deployment.entryHosts.size
            TokenBucket((plan?.ratePerS ?: 0.0) / hosts, (plan?.burst ?: 0).toDouble() / hosts)
        }

    private fun forward(attempt: OpenAttempt): List<NodeEffect> {
        val worker = nextWorker(attempt.route.upstream) ?: return refuse(attempt.event, RefusalReason.NO_CAPACITY)
        lastAttemptId += 1
        val id = AttemptId(lastAttemptId)
        openAttempts[id] = attempt
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
        val workers = workersByUpstream.getValue(upstream)
        val first = nextWorkerIndex.merge(upstream, 1, Int::plus) ?: 0
        return workers.indices.map { workers[(first + it) % workers.size] }.firstOrNull { it.isAvailable() }
    }

    private fun Worker.isAvailable(): Boolean {
        val report = loadReports[id] ?: return true
        return report.isHealthy && !report.isDraining && report.busySlots < slots
    }

    private fun onAttemptEnded(event: NodeEvent.AttemptEnded): List<NodeEffect> {
        val attempt = openAttempts.remove(event.attempt) ?: return emptyList()
        val result = event.result
        val mayRetry = attempt.attempts < MAX_ATTEMPTS && (result !is AttemptResult.Unknown || attempt.route.isIdempotent)
        return when {
            result is AttemptResult.Answered -> listOf(NodeEffect.RelayResponse(attempt.event.request, event.attempt))
            mayRetry -> forward(attempt.copy(attempts = attempt.attempts + 1))
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

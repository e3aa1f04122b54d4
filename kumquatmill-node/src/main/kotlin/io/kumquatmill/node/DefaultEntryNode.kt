package io.kumquatmill.node

import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.outcome.wireName
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.model.VersionedLists
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.node.effect.DecisionKind
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.node.request.ActiveAttempt
import io.kumquatmill.node.request.RequestState
import io.kumquatmill.node.request.RequestTable
import io.kumquatmill.routing.model.Route
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreReply
import kotlinx.serialization.json.Json

/** The [EntryNode] of the daemon, composed of the parts of the library. */
class DefaultEntryNode(
    private val settings: NodeSettings,
) : EntryNode {
    private val requests = RequestTable()
    private var lists: VersionedLists? = null
    private var nextCallId = 0L
    private var nextReadAtMs = Long.MIN_VALUE
    private var isStopping = false
    private var nextWorker = 0

    override fun handle(
        nowMs: Long,
        event: NodeEvent,
    ): List<NodeEffect> =
        when (event) {
            is NodeEvent.RequestArrived -> onRequest(nowMs, event)
            is NodeEvent.RequestCancelled -> onCancelled(event.request)
            is NodeEvent.AttemptEnded -> onAttemptEnded(event)
            is NodeEvent.StoreCallEnded -> onStoreCallEnded(event)
            is NodeEvent.Tick -> onTick(nowMs)
            is NodeEvent.StopRequested -> onStop()
            is NodeEvent.HostListRead, is NodeEvent.LoadReported, is NodeEvent.PeerMessageReceived -> emptyList()
        }

    override fun lookUp(
        nowMs: Long,
        query: LookUpQuery,
    ): LookUpAnswer {
        val self = EntryHost(settings.host, settings.region, settings.callerAddress)
        return LookUpAnswer.Found(hosts = listOf(self), alternates = emptyList(), cacheMs = settings.lookUpCacheMs)
    }

    override fun status(nowMs: Long): NodeStatus =
        NodeStatus(
            host = settings.host,
            incarnation = Incarnation(1),
            lifecycle = lifecycle(),
            configurationRevision = lists?.revision ?: 0,
            rosterEpoch = 0,
            hasStanding = true,
            inFlightRequests = requests.size,
            queuedRequests = 0,
            shares = emptyList(),
        )

    private fun lifecycle(): Lifecycle =
        when {
            isStopping -> Lifecycle.DRAINING
            lists == null -> Lifecycle.STARTING
            else -> Lifecycle.LIVE
        }

    private fun onRequest(
        nowMs: Long,
        event: NodeEvent.RequestArrived,
    ): List<NodeEffect> {
        val route =
            settings.topology.routes.firstOrNull { event.path.startsWith(it.pathPrefix) }
                ?: return refuse(event.request, RefusalReason.ROUTE_UNKNOWN)
        if (event.method !in route.methods) return refuse(event.request, RefusalReason.METHOD_NOT_ALLOWED)
        val current = lists?.lists ?: return refuse(event.request, RefusalReason.HOST_STARTING)
        val customer = current.customers.firstOrNull { event.keyHash in it.keyHashes }
        if (customer == null && !route.isOpen) return refuse(event.request, RefusalReason.KEY_UNKNOWN)
        val request =
            RequestState(
                id = event.request,
                route = route,
                workspace = customer?.workspace,
                arrivedAtMs = nowMs,
                deadlineAtMs = nowMs + route.deadlineMs,
                bodyBytes = event.bodyBytes,
                idempotencyKey = event.idempotencyKey,
            )
        requests.add(request)
        return forward(nowMs, request, route)
    }

    private fun forward(
        nowMs: Long,
        request: RequestState,
        route: Route,
    ): List<NodeEffect> {
        val workers = settings.topology.workers.filter { it.upstream == route.upstream }
        if (workers.isEmpty()) {
            requests.remove(request)
            return refuse(request.id, RefusalReason.NO_CAPACITY)
        }
        val worker = workers[nextWorker++ % workers.size]
        val attempt = ActiveAttempt(requests.nextAttemptId(), worker.id, worker.region, nowMs)
        requests.startAttempt(request, attempt)
        return listOf(
            NodeEffect.Forward(
                attempt = attempt.id,
                request = request.id,
                worker = worker.id,
                workspace = request.workspace,
                timeoutMs = request.remainingMs(nowMs),
                needsFreshConnection = !route.isIdempotent,
            ),
        )
    }

    private fun onCancelled(id: RequestId): List<NodeEffect> {
        val request = requests[id] ?: return emptyList()
        val attempt = request.attempt
        requests.remove(request)
        return listOfNotNull(attempt?.let { NodeEffect.CancelAttempt(it.id) })
    }

    private fun onAttemptEnded(event: NodeEvent.AttemptEnded): List<NodeEffect> {
        val request = requests.byAttempt(event.attempt) ?: return emptyList()
        requests.remove(request)
        return when (val result = event.result) {
            is AttemptResult.Answered -> listOf(NodeEffect.RelayAnswer(request.id, event.attempt))
            is AttemptResult.NotSent, is AttemptResult.Shed -> refuse(request.id, RefusalReason.NO_CAPACITY)
            is AttemptResult.Unknown -> {
                val outcome = Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, settings.refusalRetryAfterMs)
                listOf(NodeEffect.Refuse(request.id, outcome), logRefusal(request.id, outcome, result.detail))
            }
        }
    }

    private fun onStoreCallEnded(event: NodeEvent.StoreCallEnded): List<NodeEffect> {
        event.result.onRight { reply ->
            val entry = (reply as? StoreReply.Entry)?.entry
            if (entry != null) lists = VersionedLists(entry.revision, Json.decodeFromString<OperatorLists>(entry.value))
        }
        return emptyList()
    }

    private fun onTick(nowMs: Long): List<NodeEffect> {
        if (nowMs < nextReadAtMs) return emptyList()
        nextReadAtMs = nowMs + READ_INTERVAL_MS
        nextCallId += 1
        return listOf(NodeEffect.CallStore(nextCallId, StoreCall.Read(LISTS_KEY)))
    }

    private fun onStop(): List<NodeEffect> {
        isStopping = true
        return listOf(NodeEffect.Exit)
    }

    private fun refuse(
        id: RequestId,
        reason: RefusalReason,
    ): List<NodeEffect> {
        val outcome = Outcome.NotRun(reason, settings.refusalRetryAfterMs)
        return listOf(NodeEffect.Refuse(id, outcome), logRefusal(id, outcome, reason.wireName))
    }

    private fun logRefusal(
        id: RequestId,
        outcome: Outcome,
        reason: String,
    ): NodeEffect = NodeEffect.LogDecision(Decision(DecisionKind.REFUSE, reason, request = id, outcome = outcome.wireName))

    private companion object {
        const val LISTS_KEY = "config/lists"
        const val READ_INTERVAL_MS = 500L
    }
}

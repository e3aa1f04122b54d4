package io.kumquatmill.daemon

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.node.EntryHost
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.Lifecycle
import io.kumquatmill.node.LookupQuery
import io.kumquatmill.node.LookupResult
import io.kumquatmill.node.NodeStatus
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.NodeEvent
import java.util.concurrent.CopyOnWriteArrayList

/** Node that forwards each request to a fixed worker and relays the response. */
internal class FakeEntryNode : EntryNode {
    val events = CopyOnWriteArrayList<NodeEvent>()
    private val activeAttempts = LinkedHashMap<AttemptId, RequestId>()
    private var lastAttempt = 0L
    private var isStopping = false

    /** Runs before each request is forwarded. */
    @Volatile
    var beforeRequest: () -> Unit = {}

    override fun handle(
        nowMs: Long,
        event: NodeEvent,
    ): List<NodeEffect> {
        if (event != NodeEvent.Tick) events += event
        return decide(event) + if (isStopping && activeAttempts.isEmpty()) listOf(NodeEffect.Exit) else emptyList()
    }

    override fun lookUp(
        nowMs: Long,
        query: LookupQuery,
    ): LookupResult = LookupResult.Found(listOf(EntryHost(HostId("h1"), RegionId("west"), HostAddress("127.0.0.1", 1))), emptyList(), 5_000)

    override fun status(nowMs: Long): NodeStatus =
        NodeStatus(HostId("h1"), Incarnation(1), Lifecycle.LIVE, 1, 1, true, true, activeAttempts.size, 0, emptyList())

    private fun decide(event: NodeEvent): List<NodeEffect> =
        when (event) {
            is NodeEvent.RequestArrived -> forward(event.request)
            is NodeEvent.RequestCancelled -> cancelAttempts(event.request)
            is NodeEvent.AttemptEnded -> onAttemptEnded(event)
            is NodeEvent.StopRequested -> emptyList<NodeEffect>().also { isStopping = true }
            else -> emptyList()
        }

    private fun forward(request: RequestId): List<NodeEffect> {
        beforeRequest()
        val attempt = AttemptId(++lastAttempt)
        activeAttempts[attempt] = request
        return listOf(NodeEffect.Forward(attempt, request, WorkerId("o1"), WorkspaceId("clinic"), TIMEOUT_MS, true))
    }

    private fun cancelAttempts(request: RequestId): List<NodeEffect> {
        val attempts = activeAttempts.filterValues { it == request }.keys.toList()
        attempts.forEach { activeAttempts.remove(it) }
        return attempts.map { NodeEffect.CancelAttempt(it) }
    }

    private fun onAttemptEnded(event: NodeEvent.AttemptEnded): List<NodeEffect> {
        val request = activeAttempts.remove(event.attempt) ?: return emptyList()
        if (event.result is AttemptResult.Answered) return listOf(NodeEffect.RelayResponse(request, event.attempt))
        return listOf(NodeEffect.Refuse(request, Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, retryAfterMs = 1_500)))
    }

    private companion object {
        const val TIMEOUT_MS = 5_000L
    }
}

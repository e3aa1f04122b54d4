package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.Lifecycle
import io.kumquatmill.node.LookupQuery
import io.kumquatmill.node.LookupResult
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.scenario.history.Observation

/** Simulated entry host: executes the effects of its node, and can be frozen, killed and stopped. */
internal class VirtualHost(
    val endpoint: Endpoint,
    val host: HostId,
    val address: HostAddress,
    private val node: EntryNode,
    private val simulation: Simulation,
) {
    private val attempts = HashMap<AttemptId, OpenAttempt>()
    private val openRequests = HashMap<RequestId, OpenRequest>()
    private val bufferedEvents = ArrayDeque<NodeEvent>()
    private var isFrozen = false

    /** Whether the process is running, frozen or not. */
    var isRunning = true
        private set

    init {
        simulation.time.every(NodeEvent.TICK_INTERVAL_MS, firstDelayMs = 0) {
            if (!isFrozen) handle(NodeEvent.Tick)
            isRunning
        }
        simulation.time.every(STATUS_INTERVAL_MS) {
            if (isRunning && !isFrozen) reportRevision()
            isRunning
        }
        simulation.time.every(HOST_LIST_INTERVAL_MS, firstDelayMs = 0) {
            if (isRunning) handle(NodeEvent.HostListRead(simulation.hostList()))
            isRunning
        }
        simulation.time.every(LOAD_REPORT_INTERVAL_MS) {
            if (isRunning) readLoads()
            isRunning
        }
    }

    /** Returns the status that operators would see, or null if the host does not respond. */
    fun status() = if (isRunning && !isFrozen) node.status(simulation.time.nowMs) else null

    /** Answers a lookup, or returns null if the host does not respond. */
    fun lookUp(query: LookupQuery): LookupResult? = if (isRunning && !isFrozen) node.lookUp(simulation.time.nowMs, query) else null

    /**
     * Accepts a caller's request.
     *
     * Calls [onResponse] with the response, [onDisconnected] if the process ends first, or [onConnectionRefused] if it is not running.
     */
    fun accept(
        event: NodeEvent.RequestArrived,
        onResponse: (Outcome, RequestId?) -> Unit,
        onDisconnected: () -> Unit,
        onConnectionRefused: () -> Unit,
    ) {
        if (!isRunning) return onConnectionRefused()
        openRequests[event.request] = OpenRequest(event.bodyBytes, onResponse, onDisconnected)
        handle(event)
    }

    fun freeze() {
        isFrozen = true
    }

    fun unfreeze() {
        isFrozen = false
        while (bufferedEvents.isNotEmpty()) handle(bufferedEvents.removeFirst())
    }

    /** Asks the host to stop gracefully. */
    fun stop() {
        simulation.observe(Observation.HostStopping(simulation.time.nowMs, host))
        handle(NodeEvent.StopRequested)
    }

    /** Ends the process immediately, which breaks its connections. */
    fun kill() = end(wasKilled = true)

    /** Passes an event to the node, or buffers it while the process is frozen. */
    fun handle(event: NodeEvent) {
        if (!isRunning) return
        if (isFrozen) {
            bufferedEvents += event
            return
        }
        node.handle(simulation.time.nowMs, event).forEach(::execute)
    }

    private fun execute(effect: NodeEffect) {
        when (effect) {
            is NodeEffect.Forward -> forward(effect)
            is NodeEffect.CancelAttempt -> cancel(effect.attempt)
            is NodeEffect.RelayResponse -> relay(effect)
            is NodeEffect.Refuse -> respond(effect.request, effect.outcome, respondedRequest = null)
            is NodeEffect.SendToPeer -> simulation.sendToPeer(this, effect)
            is NodeEffect.CallStore -> callStore(effect)
            is NodeEffect.LogDecision -> simulation.log(host, effect.decision)
            is NodeEffect.Exit -> end(wasKilled = false)
        }
    }

    private fun forward(effect: NodeEffect.Forward) {
        val open = OpenAttempt(effect.request, effect.worker)
        attempts[effect.attempt] = open
        val bodyBytes = openRequests[effect.request]?.bodyBytes ?: 0
        val attempt = WorkerAttempt(effect.request, effect.workspace, host, endpoint.region, bodyBytes, effect.timeoutMs)
        simulation.sendToWorker(this, effect, attempt) { result, respondedRequest -> endAttempt(effect.attempt, result, respondedRequest) }
        simulation.time.after(effect.timeoutMs) {
            endAttempt(effect.attempt, AttemptResult.Unknown("timed out"), effect.request)
        }
    }

    private fun endAttempt(
        id: AttemptId,
        result: AttemptResult,
        respondedRequest: RequestId,
    ) {
        val open = attempts[id] ?: return
        if (open.isEnded) return
        open.isEnded = true
        open.respondedRequest = respondedRequest
        if (result is AttemptResult.Unknown) simulation.cancelAtWorker(this, open.worker, open.request)
        handle(NodeEvent.AttemptEnded(id, result))
    }

    private fun cancel(id: AttemptId) {
        val open = attempts.remove(id) ?: return
        simulation.cancelAtWorker(this, open.worker, open.request)
    }

    private fun relay(effect: NodeEffect.RelayResponse) {
        val open = attempts.remove(effect.attempt) ?: return
        respond(effect.request, Outcome.Answered(HTTP_OK), open.respondedRequest)
    }

    private fun respond(
        request: RequestId,
        outcome: Outcome,
        respondedRequest: RequestId?,
    ) {
        openRequests.remove(request)?.onResponse?.invoke(outcome, respondedRequest)
    }

    private fun callStore(effect: NodeEffect.CallStore) {
        simulation.store.call(endpoint, effect.call) { result -> handle(NodeEvent.StoreCallEnded(effect.callId, effect.call, result)) }
    }

    private fun readLoads() {
        simulation.workers.values.forEach { worker ->
            simulation.readLoad(this, worker) { report -> handle(NodeEvent.LoadReported(worker.worker.id, report)) }
        }
    }

    private fun reportRevision() {
        val status = node.status(simulation.time.nowMs)
        if (status.lifecycle != Lifecycle.LIVE || !status.servesKeys) return
        simulation.observe(Observation.RevisionInForce(simulation.time.nowMs, host, status.configurationRevision))
    }

    private fun end(wasKilled: Boolean) {
        if (!isRunning) return
        isRunning = false
        simulation.observe(Observation.HostEnded(simulation.time.nowMs, host, wasKilled))
        attempts.values
            .filterNot { it.isEnded }
            .forEach { simulation.cancelAtWorker(this, it.worker, it.request) }
        openRequests.values.toList().forEach { it.onDisconnected() }
        openRequests.clear()
    }

    private class OpenAttempt(
        val request: RequestId,
        val worker: WorkerId,
    ) {
        var isEnded = false
        var respondedRequest: RequestId = request
    }

    private class OpenRequest(
        val bodyBytes: Long,
        val onResponse: (Outcome, RequestId?) -> Unit,
        val onDisconnected: () -> Unit,
    )

    private companion object {
        const val STATUS_INTERVAL_MS = 500L
        const val HOST_LIST_INTERVAL_MS = 1_000L
        const val LOAD_REPORT_INTERVAL_MS = 1_000L
        const val HTTP_OK = 200
    }
}

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

/** An entry host under virtual time: carries out the effects of its node, and can be frozen, killed and stopped. */
internal class VirtualHost(
    val place: Place,
    val host: HostId,
    val address: HostAddress,
    private val node: EntryNode,
    private val world: VirtualWorld,
) {
    private val attempts = HashMap<AttemptId, OpenAttempt>()
    private val callers = HashMap<RequestId, OpenRequest>()
    private val heldEvents = ArrayDeque<NodeEvent>()
    private var isFrozen = false

    /** Whether the process is running, frozen or not. */
    var isRunning = true
        private set

    init {
        world.time.every(NodeEvent.TICK_INTERVAL_MS, firstDelayMs = 0) {
            if (!isFrozen) handle(NodeEvent.Tick)
            isRunning
        }
        world.time.every(STATUS_INTERVAL_MS) {
            if (isRunning && !isFrozen) reportRevision()
            isRunning
        }
        world.time.every(LIST_INTERVAL_MS, firstDelayMs = 0) {
            if (isRunning) handle(NodeEvent.HostListRead(world.hostList()))
            isRunning
        }
        world.time.every(LOAD_INTERVAL_MS) {
            if (isRunning) readLoads()
            isRunning
        }
    }

    /** Returns the status that operators would see, or null if the host does not answer. */
    fun status() = if (isRunning && !isFrozen) node.status(world.time.nowMs) else null

    /** Answers a look-up, or returns null if the host does not answer. */
    fun lookUp(query: LookupQuery): LookupResult? = if (isRunning && !isFrozen) node.lookUp(world.time.nowMs, query) else null

    /** Takes a caller's request; [onAnswer] gets the final answer, [onCut] runs when the connection breaks after that. */
    fun accept(
        event: NodeEvent.RequestArrived,
        onAnswer: (Outcome, RequestId?) -> Unit,
        onCut: () -> Unit,
        onRefused: () -> Unit,
    ) {
        if (!isRunning) return onRefused()
        callers[event.request] = OpenRequest(event.bodyBytes, onAnswer, onCut)
        handle(event)
    }

    fun freeze() {
        isFrozen = true
    }

    fun thaw() {
        isFrozen = false
        while (heldEvents.isNotEmpty()) handle(heldEvents.removeFirst())
    }

    /** Asks the host to stop in an orderly way. */
    fun stop() {
        world.observe(Observation.HostStopping(world.time.nowMs, host))
        handle(NodeEvent.StopRequested)
    }

    /** Ends the process at once; its connections break. */
    fun kill() = end(wasKilled = true)

    /** Delivers an event, or holds it while the process is frozen. */
    fun handle(event: NodeEvent) {
        if (!isRunning) return
        if (isFrozen) {
            heldEvents += event
            return
        }
        node.handle(world.time.nowMs, event).forEach(::carryOut)
    }

    private fun carryOut(effect: NodeEffect) {
        when (effect) {
            is NodeEffect.Forward -> forward(effect)
            is NodeEffect.CancelAttempt -> cancel(effect.attempt)
            is NodeEffect.RelayResponse -> relay(effect)
            is NodeEffect.Refuse -> answer(effect.request, effect.outcome, answeredRequest = null)
            is NodeEffect.SendToPeer -> world.sendToPeer(this, effect)
            is NodeEffect.CallStore -> callStore(effect)
            is NodeEffect.LogDecision -> world.log(host, effect.decision)
            is NodeEffect.Exit -> end(wasKilled = false)
        }
    }

    private fun forward(effect: NodeEffect.Forward) {
        val open = OpenAttempt(effect.request, effect.worker)
        attempts[effect.attempt] = open
        val bodyBytes = callers[effect.request]?.bodyBytes ?: 0
        val attempt = WorkerAttempt(effect.request, effect.workspace, host, place.region, bodyBytes, effect.timeoutMs)
        world.sendToWorker(this, effect, attempt) { result, answered -> endAttempt(effect.attempt, result, answered) }
        world.time.after(effect.timeoutMs) {
            endAttempt(effect.attempt, AttemptResult.Unknown("timed out"), effect.request)
        }
    }

    private fun endAttempt(
        id: AttemptId,
        result: AttemptResult,
        answered: RequestId,
    ) {
        val open = attempts[id] ?: return
        if (open.isEnded) return
        open.isEnded = true
        open.answered = answered
        if (result is AttemptResult.Unknown) world.cancelAtWorker(this, open.worker, open.request)
        handle(NodeEvent.AttemptEnded(id, result))
    }

    private fun cancel(id: AttemptId) {
        val open = attempts.remove(id) ?: return
        world.cancelAtWorker(this, open.worker, open.request)
    }

    private fun relay(effect: NodeEffect.RelayResponse) {
        val open = attempts.remove(effect.attempt) ?: return
        answer(effect.request, Outcome.Answered(OK), open.answered)
    }

    private fun answer(
        request: RequestId,
        outcome: Outcome,
        answeredRequest: RequestId?,
    ) {
        callers.remove(request)?.onAnswer?.invoke(outcome, answeredRequest)
    }

    private fun callStore(effect: NodeEffect.CallStore) {
        world.store.call(place, effect.call) { result -> handle(NodeEvent.StoreCallEnded(effect.callId, effect.call, result)) }
    }

    private fun readLoads() {
        world.workers.values.forEach { worker ->
            world.readLoad(this, worker) { report -> handle(NodeEvent.LoadReported(worker.worker.id, report)) }
        }
    }

    private fun reportRevision() {
        val status = node.status(world.time.nowMs)
        if (status.lifecycle != Lifecycle.LIVE || !status.servesKeys) return
        world.observe(Observation.RevisionInForce(world.time.nowMs, host, status.configurationRevision))
    }

    private fun end(wasKilled: Boolean) {
        if (!isRunning) return
        isRunning = false
        world.observe(Observation.HostEnded(world.time.nowMs, host, wasKilled))
        attempts.values
            .filterNot { it.isEnded }
            .forEach { world.cancelAtWorker(this, it.worker, it.request) }
        callers.values.toList().forEach { it.onCut() }
        callers.clear()
    }

    private class OpenAttempt(
        val request: RequestId,
        val worker: WorkerId,
    ) {
        var isEnded = false
        var answered: RequestId = request
    }

    private class OpenRequest(
        val bodyBytes: Long,
        val onAnswer: (Outcome, RequestId?) -> Unit,
        val onCut: () -> Unit,
    )

    private companion object {
        const val STATUS_INTERVAL_MS = 500L
        const val LIST_INTERVAL_MS = 1_000L
        const val LOAD_INTERVAL_MS = 1_000L
        const val OK = 200
    }
}

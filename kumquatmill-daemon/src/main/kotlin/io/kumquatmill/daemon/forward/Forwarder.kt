package io.kumquatmill.daemon.forward

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.daemon.caller.PendingRequest
import io.kumquatmill.daemon.decision.DutyPool
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.settings.ForwardSettings
import okhttp3.Call
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/** Carries out attempts on threads of its own and reports how each one ended. */
internal class Forwarder(
    private val workers: Map<WorkerId, Worker>,
    settings: ForwardSettings,
    maxAttempts: Int,
    private val maxAnswerBytes: Long,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val onEnd: (AttemptId, AttemptResult) -> Unit,
) : AutoCloseable {
    private val client = WorkerClient(settings, maxConnections = maxAttempts, clock)
    private val pool = DutyPool("forward", threads = maxAttempts, ringCapacity = 0)
    private val calls = ConcurrentHashMap<AttemptId, CancellableCall>()

    /** Attempts that were refused because all threads were busy. */
    val refused: Long
        get() = pool.refused

    /** Starts the attempt [effect] of [pending] without waiting. */
    fun forward(
        effect: NodeEffect.Forward,
        pending: PendingRequest?,
    ) {
        val worker = workers[effect.worker]
        val startedAtMs = clock.nowMs()
        calls[effect.attempt] = CancellableCall()
        val isTaken = pending != null && worker != null && pool.submit { attempt(effect, pending, worker, startedAtMs) }
        if (!isTaken) end(effect.attempt, AttemptResult.NotSent)
    }

    /** Gives up [attempt]: closes its connection. */
    fun cancel(attempt: AttemptId) {
        calls[attempt]?.cancel()
    }

    override fun close() {
        pool.close()
        client.close()
    }

    private fun attempt(
        effect: NodeEffect.Forward,
        pending: PendingRequest,
        worker: Worker,
        startedAtMs: Long,
    ) {
        val remainingMs = effect.timeoutMs - (clock.nowMs() - startedAtMs)
        val state = AttemptState(effect.needsFreshConnection)
        val call = WorkerCall(effect.request, worker, effect.workspace, pending.upstream, remainingMs, state)
        val end = if (remainingMs <= 0) AttemptEnd(AttemptResult.NotSent) else send(effect.attempt, call)
        end.answer?.let { pending.keep(effect.attempt, it) }
        end(effect.attempt, end.result)
    }

    private fun end(
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        calls.remove(attempt)
        onEnd(attempt, result)
    }

    private fun send(
        attempt: AttemptId,
        call: WorkerCall,
    ): AttemptEnd =
        try {
            exchange(attempt, call, client.newCall(call))
        } catch (_: StaleConnectionException) {
            sendOnNewConnection(attempt, call)
        } catch (e: IOException) {
            failed(call, e)
        }

    private fun sendOnNewConnection(
        attempt: AttemptId,
        call: WorkerCall,
    ): AttemptEnd =
        try {
            exchange(attempt, call, client.newCallOnNewConnection(call))
        } catch (e: IOException) {
            failed(call, e)
        }

    private fun exchange(
        attempt: AttemptId,
        call: WorkerCall,
        httpCall: Call,
    ): AttemptEnd {
        calls[attempt]?.use(httpCall)
        return httpCall.execute().use { response ->
            readAnswer(response, call.request, maxAnswerBytes).also { if (it.result is AttemptResult.Unknown) httpCall.cancel() }
        }
    }

    private fun failed(
        call: WorkerCall,
        error: IOException,
    ): AttemptEnd {
        val detail = error.message ?: error.javaClass.simpleName
        return AttemptEnd(if (call.state.isSent) AttemptResult.Unknown(detail) else AttemptResult.NotSent)
    }
}

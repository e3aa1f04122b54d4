package io.kumquatmill.daemon.forward

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.daemon.caller.PendingRequest
import io.kumquatmill.daemon.decision.BoundedExecutor
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.settings.ForwardSettings
import okhttp3.Call
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/** Executes attempts on a separate thread pool and reports the result of each one to [onAttemptEnded]. */
internal class Forwarder(
    private val workers: Map<WorkerId, Worker>,
    settings: ForwardSettings,
    maxConcurrentAttempts: Int,
    private val maxResponseBytes: Long,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val onAttemptEnded: (AttemptId, AttemptResult) -> Unit,
) : AutoCloseable {
    private val client = WorkerClient(settings, maxConnections = maxConcurrentAttempts, clock)
    private val executor = BoundedExecutor("forward", threads = maxConcurrentAttempts, queueCapacity = 0)
    private val calls = ConcurrentHashMap<AttemptId, CancellableCall>()

    /** Number of attempts rejected since the start because all threads were busy. */
    val rejectedAttempts: Long
        get() = executor.rejectedTasks

    /**
     * Starts the attempt [effect] of [pendingRequest] without blocking.
     *
     * The attempt ends as not sent if [pendingRequest] is null, the worker is unknown or all threads are busy.
     */
    fun forward(
        effect: NodeEffect.Forward,
        pendingRequest: PendingRequest?,
    ) {
        val worker = workers[effect.worker]
        val startedAtMs = clock.nowMs()
        calls[effect.attempt] = CancellableCall()
        val isAccepted =
            pendingRequest != null && worker != null && executor.submit { runAttempt(effect, pendingRequest, worker, startedAtMs) }
        if (!isAccepted) completeAttempt(effect.attempt, AttemptResult.NotSent)
    }

    /** Cancels [attempt] and closes its connection. */
    fun cancel(attempt: AttemptId) {
        calls[attempt]?.cancel()
    }

    override fun close() {
        executor.close()
        client.close()
    }

    private fun runAttempt(
        effect: NodeEffect.Forward,
        pendingRequest: PendingRequest,
        worker: Worker,
        startedAtMs: Long,
    ) {
        val remainingMs = effect.timeoutMs - (clock.nowMs() - startedAtMs)
        val state = AttemptState(effect.needsFreshConnection)
        val call = WorkerCall(effect.request, worker, effect.workspace, pendingRequest.upstreamRequest, remainingMs, state)
        val completed = if (remainingMs <= 0) CompletedAttempt(AttemptResult.NotSent) else send(effect.attempt, call)
        completed.response?.let { pendingRequest.storeResponse(effect.attempt, it) }
        completeAttempt(effect.attempt, completed.result)
    }

    private fun completeAttempt(
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        calls.remove(attempt)
        onAttemptEnded(attempt, result)
    }

    private fun send(
        attempt: AttemptId,
        call: WorkerCall,
    ): CompletedAttempt =
        try {
            executeCall(attempt, call, client.newCall(call))
        } catch (_: StaleConnectionException) {
            sendOnNewConnection(attempt, call)
        } catch (e: IOException) {
            toFailedAttempt(call, e)
        }

    private fun sendOnNewConnection(
        attempt: AttemptId,
        call: WorkerCall,
    ): CompletedAttempt =
        try {
            executeCall(attempt, call, client.newCallOnNewConnection(call))
        } catch (e: IOException) {
            toFailedAttempt(call, e)
        }

    private fun executeCall(
        attempt: AttemptId,
        call: WorkerCall,
        httpCall: Call,
    ): CompletedAttempt {
        calls[attempt]?.attach(httpCall)
        return httpCall.execute().use { response ->
            readResponse(response, call.request, maxResponseBytes).also { if (it.result is AttemptResult.Unknown) httpCall.cancel() }
        }
    }

    private fun toFailedAttempt(
        call: WorkerCall,
        error: IOException,
    ): CompletedAttempt {
        val detail = error.message ?: error.javaClass.simpleName
        return CompletedAttempt(if (call.state.mayHaveBeenSent) AttemptResult.Unknown(detail) else AttemptResult.NotSent)
    }
}

package io.kumquatmill.gateway.caller

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.gateway.http.ConnectionUse
import io.kumquatmill.gateway.http.HttpCall
import io.kumquatmill.gateway.http.OngoingCall
import io.kumquatmill.gateway.http.ResponseHead
import io.kumquatmill.gateway.log.AnswerSummary
import io.kumquatmill.gateway.log.RequestIdentity
import io.kumquatmill.gateway.relay.RelayHeaders
import io.kumquatmill.gateway.relay.RelayedCall
import io.kumquatmill.traffic.control.AnswerDoubt
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.model.Workspace
import io.undertow.util.Headers

/**
 * Sends a caller's request to workers, directly or through peers, one attempt at a time, and interprets the answers. Must be used on the
 * event loop only.
 *
 * @param workspace workspace that the caller's key belongs to, which workers are told
 */
internal class WorkerAttempts(
    private val context: CallerContext,
    private val head: ReceivedHead,
    private val identity: RequestIdentity,
    private val body: ByteArray,
    private val workspace: Workspace?,
) {
    private val id = identity.id
    private val headerNames = context.headerNames
    private val controller = context.controller
    private val clock = context.clock
    private val headers = endToEndHeaders(head.headers, reservedHeaders(headerNames))
    private var call: OngoingCall? = null
    private var workerResponse: CallResult.Response? = null
    private var lastAnswer: AnswerSummary? = null
    private var lastUse: ConnectionUse? = null

    /**
     * Sends the request as [action] states. Calls [onEnded] once unless the attempt is cancelled, with a function that returns its result
     * and must be called once.
     */
    fun send(
        action: RequestAction.Send,
        onEnded: (result: () -> AttemptResult) -> Unit,
    ) {
        val entry = action.worker.entry
        context.log.attemptStarted(identity, entry, controller.version, action.worker.load(clock.nowMs()), action.relay?.host)
        val hostHeaders =
            listOfNotNull(
                headerNames.deadline to action.timeoutMs.toString(),
                headerNames.expectedWorker to entry.id.value,
                workspace?.let { headerNames.workspace to it.id.value },
            )
        val relay = action.relay
        val relayHeaders =
            if (relay == null) {
                emptyList()
            } else {
                listOf(RelayHeaders.WORKER to entry.id.value, RelayHeaders.MAX_IDLE_MS to action.maxConnectionIdleMs.toString())
            }
        val httpCall =
            HttpCall(
                address = if (relay == null) entry.address else HostAddress(relay.ip, context.peerPort),
                method = head.method,
                target = head.target,
                headers = headers + hostHeaders + relayHeaders,
                body = body,
                maxConnectionIdleMs = action.maxConnectionIdleMs,
                maxIdleConnections = if (relay == null) action.maxIdleConnections else Int.MAX_VALUE,
                connectTimeoutMs = minOf(CONNECT_TIMEOUT_MS, action.timeoutMs),
                requestId = id,
                isOwnResponse = { identityFlaw(it, id, headerNames) == null },
                onHead = { head -> if (relay == null || RelayedCall.isFromWorker(head.headers)) onWorkerHead(entry, head, relay != null) },
                mayKeepConnection = { relay != null || !controller.isLeaving(entry) },
            )
        call =
            context.httpClient.send(httpCall) { callResult ->
                call = null
                onEnded { if (relay == null) directResult(entry.id, callResult) else relayedResult(callResult) }
            }
    }

    /** Ends the attempt in progress, if there is one, without a result. */
    fun cancel() {
        call?.cancel()
    }

    /** Logs that the attempt at [worker] ended with [result]. */
    fun logEnded(
        worker: WorkerId,
        result: AttemptResult,
    ) {
        context.log.attemptEnded(id, worker, result, lastAnswer, lastUse)
        lastAnswer = null
        lastUse = null
    }

    /** Returns the response to forward; throws [IllegalStateException] if the last attempt was not [AttemptResult.Answered]. */
    fun takeResponse(): CallResult.Response {
        val response = checkNotNull(workerResponse) { "request $id has no worker response to forward" }
        workerResponse = null
        return response
    }

    private fun onWorkerHead(
        worker: WorkerEntry,
        head: ResponseHead,
        isRelayed: Boolean,
    ) {
        val isFirstAnswer = if (isRelayed) !RelayedCall.mayBeCopy(head.headers) else !head.use.isRepeat
        val word = parseWorkerWord(head.status, head.headers, id, isFirstAnswer, headerNames) ?: return
        context.metrics.countStatedPause(word.pause)
        controller.onWorkerWord(clock.nowMs(), worker, word)
    }

    private fun directResult(
        worker: WorkerId,
        callResult: CallResult,
    ): AttemptResult {
        if (callResult is CallResult.Response) controller.onResponse(clock.nowMs(), worker, callResult.isConnectionReused)
        lastUse = callResult.use
        return toAttemptResult(callResult)
    }

    private fun relayedResult(callResult: CallResult): AttemptResult =
        when (val relayed = RelayedCall.of(callResult, id, headerNames.requestId)) {
            is RelayedCall.Ended -> relayed.result
            is RelayedCall.Response -> relayed.believed(toAttemptResult(relayed.response))
        }

    private fun toAttemptResult(callResult: CallResult): AttemptResult =
        when (callResult) {
            is CallResult.NotSent -> AttemptResult.Unreachable(callResult.detail, callResult.isRefused)
            is CallResult.Incomplete ->
                AttemptResult.Unknown(callResult.detail, callResult.isConnectionLost, AnswerDoubt.FRAMING.takeIf { callResult.isMalformed })
            is CallResult.Response -> {
                lastAnswer = AnswerSummary.of(callResult, headerNames)
                classifyResponse(callResult, id, headerNames).also { if (it is AttemptResult.Answered) workerResponse = callResult }
            }
        }

    private companion object {
        /** A worker accepts a connection within a few milliseconds, in another region within a few tens of milliseconds. */
        const val CONNECT_TIMEOUT_MS = 400L
    }
}

/** Headers of a caller that are not forwarded: its key, and those that only this host may set. Names are in lower case. */
private fun reservedHeaders(headerNames: HttpHeaderNames): Set<String> =
    setOf(
        Headers.AUTHORIZATION_STRING.lowercase(),
        headerNames.workspace.lowercase(),
        headerNames.expectedWorker.lowercase(),
        headerNames.deadline.lowercase(),
    ) + RelayHeaders.names

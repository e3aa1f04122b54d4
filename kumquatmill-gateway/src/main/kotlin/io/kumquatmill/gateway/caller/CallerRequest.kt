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
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.model.WorkerEntry
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.xnio.XnioExecutor
import java.util.concurrent.TimeUnit

/**
 * Serves one request of a caller, from its arrival to its response. Must be used on the event loop only.
 *
 * @param onFinished called once, when the request has its final outcome
 */
internal class CallerRequest(
    private val context: CallerContext,
    private val exchange: HttpServerExchange,
    private val id: String,
    private val body: ByteArray,
    private val resolved: RouteResolution.Resolved,
    private val isDraining: () -> Boolean,
    private val onFinished: (CallerRequest) -> Unit,
) {
    private val headerNames = context.headerNames
    private val controller = context.controller
    private val clock = context.clock
    private val arrivedAtMs = clock.nowMs()
    private val disconnectWatch = DisconnectWatch(exchange) { onCallerDisconnected() }
    private val target = exchange.rawTarget
    private val method = exchange.requestMethod.toString()
    private val headers = endToEndHeaders(exchange.requestHeaders, reservedHeaders(headerNames))
    private val fingerprint =
        RequestFingerprint.of(method, exchange.requestHeaders.getFirst(Headers.HOST).orEmpty(), target, resolved.workspace?.id, body)
    private val identity = RequestIdentity(id, fingerprint)
    private var trafficRequest: TrafficRequest? = null
    private var call: OngoingCall? = null
    private var workerResponse: CallResult.Response? = null
    private var lastAnswer: AnswerSummary? = null
    private var lastUse: ConnectionUse? = null
    private var deadlineTimer: XnioExecutor.Key? = null
    private var loanWait: LoanWait? = null
    private var isCallerDisconnected = false
    private var isFinished = false

    fun start() = guarded { begin() }

    private fun begin() {
        val deadlineMs =
            exchange.requestHeaders
                .getFirst(headerNames.deadline)
                ?.toLongOrNull()
                ?.takeIf { it > 0 }
        val affinityKey = exchange.requestHeaders.getFirst(headerNames.affinityKey)
        val (admittedRequest, action) = controller.begin(arrivedAtMs, resolved, affinityKey, id, deadlineMs, fingerprint)
        trafficRequest = admittedRequest
        if (admittedRequest != null) {
            val timeLimitMs = maxOf(1, admittedRequest.deadlineAtMs - arrivedAtMs)
            deadlineTimer = exchange.ioThread.executeAfter({ guarded { onDeadline() } }, timeLimitMs, TimeUnit.MILLISECONDS)
            if (action is RequestAction.Send || action is RequestAction.Wait) disconnectWatch.start()
        }
        perform(action)
    }

    private fun perform(action: RequestAction) {
        when (action) {
            is RequestAction.Send -> send(action)
            is RequestAction.Wait -> waitForLoan(action)
            is RequestAction.Deliver -> forwardResponse()
            is RequestAction.Refuse -> respondLocally(LocalResponse.refused(action.cause, action.retryAfterMs))
            is RequestAction.Fail -> respondLocally(LocalResponse.upstreamFailed(action.detail))
        }
    }

    private fun waitForLoan(action: RequestAction.Wait) {
        context.log.waitingForLoan(id, resolved.workspace?.id, action.afterMs)
        loanWait = LoanWait(action.afterMs)
    }

    /**
     * One wait for tokens of the workspace's rate limit, which a grant or its timer ends, whichever comes first.
     *
     * A timer that is due runs even if it is removed in the same turn of the event loop, so a wait that has ended does nothing.
     */
    private inner class LoanWait(
        afterMs: Long,
    ) {
        private val onGrant: () -> Unit = { guarded { end() } }
        private val timer = exchange.ioThread.executeAfter(onGrant, afterMs, TimeUnit.MILLISECONDS)

        init {
            resolved.workspace?.let { context.loanWaiters.add(it.id, onGrant) }
        }

        /** Ends the wait without continuing the request. */
        fun cancel() {
            loanWait = null
            timer.remove()
            resolved.workspace?.let { context.loanWaiters.remove(it.id, onGrant) }
        }

        private fun end() {
            if (loanWait !== this) return
            cancel()
            resume()
        }
    }

    /** Continues the request after it has waited for tokens of its workspace's rate limit. */
    private fun resume() {
        val waitingRequest = trafficRequest
        when {
            isFinished || waitingRequest == null -> return
            isCallerDisconnected -> finish(CLIENT_CLOSED_REQUEST, "caller-left") { }
            else -> perform(controller.resume(clock.nowMs(), waitingRequest))
        }
    }

    private fun send(action: RequestAction.Send) {
        val entry = action.worker.entry
        context.log.attemptStarted(identity, entry, controller.version, action.worker.load(clock.nowMs()), action.relay?.host)
        val hostHeaders =
            listOfNotNull(
                headerNames.deadline to action.timeoutMs.toString(),
                headerNames.expectedWorker to entry.id.value,
                resolved.workspace?.let { headerNames.workspace to it.id.value },
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
                method = method,
                target = target,
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
                guarded { onAttemptEnded(if (relay == null) directResult(entry.id, callResult) else relayedResult(callResult)) }
            }
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

    private fun onAttemptEnded(result: AttemptResult) {
        call = null
        val sentRequest = trafficRequest ?: return
        context.log.attemptEnded(id, sentRequest.workers.last(), result, lastAnswer, lastUse)
        lastAnswer = null
        lastUse = null
        context.metrics.countAttempt(result)
        context.metrics.countStatedLimit(result.rateLimit)
        if (isCallerDisconnected) {
            controller.abandon(clock.nowMs(), sentRequest, isWorkerSlow = false, result)
            return finish(CLIENT_CLOSED_REQUEST, "caller-left") { }
        }
        perform(controller.onResult(clock.nowMs(), sentRequest, result))
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

    private fun forwardResponse() {
        val response = checkNotNull(workerResponse) { "request $id has no worker response to forward" }
        finish(response.status, "answered") {
            exchange.statusCode = response.status
            endToEndHeaders(response.headers, emptySet()).forEach { (name, value) ->
                exchange.responseHeaders.add(HttpString(name), value)
            }
            exchange.sendBody(response.body)
        }
    }

    private fun respondLocally(response: LocalResponse) = finish(response.status, response.reason) { exchange.send(response, id) }

    private fun finish(
        status: Int,
        outcome: String,
        respond: () -> Unit,
    ) {
        if (isFinished) return
        release()
        val durationMs = clock.nowMs() - arrivedAtMs
        context.log.requestFinished(identity, resolved, trafficRequest, status, outcome, durationMs, controller.version)
        context.metrics.countRequest(resolved.route.id.value, outcome)
        trafficRequest?.admissionDecision?.let(context.metrics::countAdmission)
        context.metrics.recordDuration(outcome, durationMs)
        if (isCallerDisconnected) return
        disconnectWatch.stop()
        if (isDraining()) exchange.isPersistent = false
        if (!exchange.isComplete) respond()
    }

    /** Ends the request when the caller's deadline or the route's timeout has passed. */
    private fun onDeadline() {
        if (isFinished) return
        trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = true) }
        call?.cancel()
        respondLocally(LocalResponse.deadlineExceeded)
    }

    /** Cancels an idempotent request when the caller closes its connection; any other request runs to its end. */
    private fun onCallerDisconnected() {
        isCallerDisconnected = true
        exchange.isPersistent = false
        if (resolved.route.isIdempotent) {
            trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = false) }
            call?.cancel()
            finish(CLIENT_CLOSED_REQUEST, "caller-left") { }
        }
        exchange.closeConnection()
    }

    /** Runs [step] of this request. An unexpected error ends this request alone, with a response that does not say whether it has run. */
    @Suppress("TooGenericExceptionCaught")
    private fun guarded(step: () -> Unit) {
        try {
            step()
        } catch (e: RuntimeException) {
            context.log.requestBroken(id, e)
            trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = false) }
            call?.cancel()
            respondLocally(LocalResponse.upstreamFailed("unexpected error"))
        }
    }

    private fun release() {
        isFinished = true
        deadlineTimer?.remove()
        loanWait?.cancel()
        onFinished(this)
    }

    private companion object {
        /** A worker accepts a connection within a few milliseconds, in another region within a few tens of milliseconds. */
        const val CONNECT_TIMEOUT_MS = 400L

        /** Status logged when the caller has closed its connection, so that no response is sent. */
        const val CLIENT_CLOSED_REQUEST = 499
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

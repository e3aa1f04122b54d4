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
 * A request that was read ahead has no exchange until its turn comes; its response is held until then.
 *
 * @param onFinished called once, when the request has its final outcome and its response can be sent
 */
internal class CallerRequest(
    private val context: CallerContext,
    private val pipeline: CallerPipeline,
    override val head: ReceivedHead,
    override val id: String,
    private val body: ByteArray,
    private val resolved: RouteResolution.Resolved,
    private val onFinished: (CallerRequest) -> Unit,
) : PipelinedRequest {
    private val headerNames = context.headerNames
    private val controller = context.controller
    private val clock = context.clock
    private val loop = pipeline.loop
    private val arrivedAtMs = clock.nowMs()
    private val headers = endToEndHeaders(head.headers, reservedHeaders(headerNames))
    private val fingerprint = RequestFingerprint.of(head.method, head.host, head.target, resolved.workspace?.id, body)
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

    /** Exchange of the server on which the response is sent, or null while the request waits for its turn. */
    private var exchange: HttpServerExchange? = null
    private var heldResponse: HeldResponse? = null

    override val allowsOthersBehind: Boolean
        get() = head.isGetOrHead && resolved.route.isIdempotent

    /** Serves the request, whose turn it is, on [exchange]. */
    fun start(exchange: HttpServerExchange) {
        this.exchange = exchange
        guarded { begin() }
    }

    override fun startAhead() = guarded { begin() }

    override fun attach(exchange: HttpServerExchange) {
        this.exchange = exchange
        val response = heldResponse
        heldResponse = null
        guarded { if (response == null) pipeline.watch(this, exchange) else complete(response) }
    }

    override fun cancel(outcome: String) {
        if (isCallerDisconnected) return
        isCallerDisconnected = true
        heldResponse = null
        guarded {
            if (!isFinished) {
                trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = false) }
                call?.cancel()
                endWork()
            }
            complete(HeldResponse(CLIENT_CLOSED_REQUEST, outcome, bodyBytes = 0) { })
        }
    }

    private fun begin() {
        val deadlineMs =
            head.headers
                .getFirst(headerNames.deadline)
                ?.toLongOrNull()
                ?.takeIf { it > 0 }
        val affinityKey = head.headers.getFirst(headerNames.affinityKey)
        val (admittedRequest, action) = controller.begin(arrivedAtMs, resolved, affinityKey, id, deadlineMs, fingerprint)
        trafficRequest = admittedRequest
        if (admittedRequest != null) {
            val timeLimitMs = maxOf(1, admittedRequest.deadlineAtMs - arrivedAtMs)
            deadlineTimer = loop.executeAfter({ guarded { onDeadline() } }, timeLimitMs, TimeUnit.MILLISECONDS)
        }
        perform(action)
        // Requests behind this one are started after it, so that a worker gets them in the caller's order.
        if (!isFinished) exchange?.let { pipeline.watch(this, it) }
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
        private val timer = loop.executeAfter(onGrant, afterMs, TimeUnit.MILLISECONDS)

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
        context.metrics.countReportedLoad(result.load)
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
        workerResponse = null
        finish(response.status, "answered", response.body.size) { exchange ->
            exchange.statusCode = response.status
            endToEndHeaders(response.headers, emptySet()).forEach { (name, value) ->
                exchange.responseHeaders.add(HttpString(name), value)
            }
            exchange.sendBody(response.body)
        }
    }

    private fun respondLocally(response: LocalResponse) = finish(response.status, response.reason) { it.send(response, id) }

    private fun finish(
        status: Int,
        outcome: String,
        bodyBytes: Int = 0,
        respond: (HttpServerExchange) -> Unit,
    ) {
        if (isFinished) return
        endWork()
        pipeline.onResponse(bodyBytes)
        val response = HeldResponse(status, outcome, bodyBytes, respond)
        when {
            exchange != null || isCallerDisconnected -> complete(response)
            pipeline.hold(this, bodyBytes + HELD_HEAD_BYTES) -> heldResponse = response
            else -> complete(HeldResponse(status, DISCARDED, bodyBytes) { })
        }
    }

    /** Sends [response], which is the final one, unless nobody waits for it. */
    private fun complete(response: HeldResponse) {
        onFinished(this)
        val durationMs = clock.nowMs() - arrivedAtMs
        context.log.requestFinished(identity, resolved, trafficRequest, response.status, response.outcome, durationMs, controller.version)
        context.metrics.countRequest(resolved.route.id.value, response.outcome)
        trafficRequest?.admissionDecision?.let(context.metrics::countAdmission)
        context.metrics.recordDuration(response.outcome, durationMs)
        val open = exchange
        if (isCallerDisconnected || open == null) return
        pipeline.beforeResponse(open)
        if (open.isComplete) return
        response.respond(open)
        pipeline.onSending(open, response.bodyBytes)
    }

    /** Ends the request when the caller's deadline or the route's timeout has passed. */
    private fun onDeadline() {
        if (isFinished) return
        trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = true) }
        call?.cancel()
        respondLocally(LocalResponse.deadlineExceeded)
    }

    override fun onCallerDisconnected() {
        isCallerDisconnected = true
        exchange?.isPersistent = false
        guarded {
            if (!resolved.route.isIdempotent) return@guarded
            trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = false) }
            call?.cancel()
            finish(CLIENT_CLOSED_REQUEST, "caller-left") { }
        }
        exchange?.closeConnection()
    }

    /** Runs [step] of this request. An unexpected error ends this request alone, with a response that does not say whether it has run. */
    private fun guarded(step: () -> Unit) {
        if (succeeds(step)) return
        if (!isFinished) {
            succeeds {
                call?.cancel()
                trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = false) }
            }
            if (succeeds { respondLocally(LocalResponse.upstreamFailed("unexpected error")) }) return
        }
        // Without a response or a close, the caller would wait until its own time limit.
        exchange?.takeUnless { it.isResponseStarted || it.isComplete }?.closeConnection()
    }

    @Suppress("TooGenericExceptionCaught")
    private fun succeeds(step: () -> Unit): Boolean =
        try {
            step()
            true
        } catch (e: RuntimeException) {
            context.log.requestBroken(id, e)
            false
        }

    /** Ends the timers and waits of the request; it is answered later if its turn has not come. */
    private fun endWork() {
        isFinished = true
        deadlineTimer?.remove()
        loanWait?.cancel()
    }

    /** A response that is complete; [respond] sends it. */
    private class HeldResponse(
        val status: Int,
        val outcome: String,
        val bodyBytes: Int,
        val respond: (HttpServerExchange) -> Unit,
    )

    private companion object {
        /** A worker accepts a connection within a few milliseconds, in another region within a few tens of milliseconds. */
        const val CONNECT_TIMEOUT_MS = 400L

        /** Status logged when the caller has closed its connection, so that no response is sent. */
        const val CLIENT_CLOSED_REQUEST = 499

        /** Outcome of a request whose response was not held for lack of room; the request runs again in its turn. */
        const val DISCARDED = "read-ahead-discarded"

        /** Memory that is counted for the head of a response that waits for its turn. */
        const val HELD_HEAD_BYTES = 1_024
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

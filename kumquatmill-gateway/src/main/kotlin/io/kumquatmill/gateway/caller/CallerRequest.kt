package io.kumquatmill.gateway.caller

import io.kumquatmill.gateway.log.RequestIdentity
import io.kumquatmill.gateway.response.closeConnection
import io.kumquatmill.gateway.response.sendBody
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.undertow.server.HttpServerExchange
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
    private val fingerprint = RequestFingerprint.of(head.method, head.host, head.target, resolved.workspace?.id, body)
    private val identity = RequestIdentity(id, fingerprint)
    private val attempts = WorkerAttempts(context, head, identity, body, resolved.workspace)
    private var trafficRequest: TrafficRequest? = null
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
        guarded {
            // A host that was frozen or busy may read a request after its caller has left.
            if (pipeline.detectDisconnect(this)) finish(CLIENT_CLOSED_REQUEST, "caller-left") { } else begin()
        }
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
                attempts.cancel()
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
            is RequestAction.Send -> attempts.send(action) { result -> guarded { onAttemptEnded(result()) } }
            is RequestAction.Wait -> waitForLoan(action)
            is RequestAction.Deliver -> forwardResponse()
            is RequestAction.Refuse -> respondLocally(LocalResponse.refused(action.cause, action.retryAfterMs))
            is RequestAction.Fail -> respondLocally(LocalResponse.upstreamFailed(action.detail))
        }
    }

    private fun waitForLoan(action: RequestAction.Wait) {
        context.log.waitingForLoan(id, resolved.workspace?.id, action.afterMs)
        loanWait =
            LoanWait(loop, context.loanWaiters, resolved.workspace?.id, action.afterMs) { wait ->
                guarded {
                    // A timer that is due runs even if it is removed in the same turn of the event loop.
                    if (loanWait === wait) {
                        endLoanWait()
                        resume()
                    }
                }
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

    private fun onAttemptEnded(result: AttemptResult) {
        val sentRequest = trafficRequest ?: return
        attempts.logEnded(sentRequest.workers.last(), result)
        context.metrics.countAttempt(result)
        context.metrics.countStatedLimit(result.rateLimit)
        context.metrics.countReportedLoad(result.load)
        if (isCallerDisconnected) {
            controller.abandon(clock.nowMs(), sentRequest, isWorkerSlow = false, result)
            return finish(CLIENT_CLOSED_REQUEST, "caller-left") { }
        }
        perform(controller.onResult(clock.nowMs(), sentRequest, result))
    }

    private fun forwardResponse() {
        val response = attempts.takeResponse()
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
    }

    /** Ends the request when the caller's deadline or the route's timeout has passed. */
    private fun onDeadline() {
        if (isFinished) return
        trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = true) }
        attempts.cancel()
        respondLocally(LocalResponse.deadlineExceeded)
    }

    override fun onCallerDisconnected() {
        isCallerDisconnected = true
        exchange?.isPersistent = false
        guarded {
            if (!resolved.route.isIdempotent) return@guarded
            trafficRequest?.let { controller.abandon(clock.nowMs(), it, isWorkerSlow = false) }
            attempts.cancel()
            finish(CLIENT_CLOSED_REQUEST, "caller-left") { }
        }
        exchange?.closeConnection()
    }

    /** Runs [step] of this request. An unexpected error ends this request alone, with a response that does not say whether it has run. */
    private fun guarded(step: () -> Unit) {
        if (succeeds(step)) return
        if (!isFinished) {
            succeeds {
                attempts.cancel()
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

    private fun endLoanWait() {
        val wait = loanWait
        loanWait = null
        wait?.cancel()
    }

    /** Ends the timers and waits of the request; it is answered later if its turn has not come. */
    private fun endWork() {
        isFinished = true
        deadlineTimer?.remove()
        endLoanWait()
    }

    private companion object {
        /** Status logged when the caller has closed its connection, so that no response is sent. */
        const val CLIENT_CLOSED_REQUEST = 499

        /** Outcome of a request whose response was not held for lack of room; the request runs again in its turn. */
        const val DISCARDED = "read-ahead-discarded"

        /** Memory that is counted for the head of a response that waits for its turn. */
        const val HELD_HEAD_BYTES = 1_024
    }
}

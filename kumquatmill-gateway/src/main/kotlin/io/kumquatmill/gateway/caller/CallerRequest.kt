package io.kumquatmill.gateway.caller

import io.kumquatmill.gateway.http.CallEnd
import io.kumquatmill.gateway.http.HttpCall
import io.kumquatmill.gateway.http.OngoingCall
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.Step
import io.kumquatmill.traffic.control.TrafficRequest
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.xnio.XnioExecutor
import java.util.concurrent.TimeUnit

/** One request of a caller from its arrival to its answer; runs on the event loop. */
internal class CallerRequest(
    private val context: CallerContext,
    private val exchange: HttpServerExchange,
    private val id: String,
    private val body: ByteArray,
    private val known: RouteResolution.Resolved,
    private val isDraining: () -> Boolean,
    private val onDone: (CallerRequest) -> Unit,
) {
    private val names = context.names
    private val desk = context.desk
    private val clock = context.clock
    private val arrivedAtMs = clock.nowMs()
    private val watch = DisconnectWatch(exchange) { callerLeft() }
    private val target = exchange.rawTarget
    private val method = exchange.requestMethod.toString()
    private val headers = endToEndHeaders(exchange.requestHeaders, ownHeaders(names))
    private var request: TrafficRequest? = null
    private var call: OngoingCall? = null
    private var answer: CallEnd.Answered? = null
    private var timer: XnioExecutor.Key? = null
    private var isCallerGone = false
    private var isDone = false

    fun start() {
        val deadlineMs =
            exchange.requestHeaders
                .getFirst(names.deadline)
                ?.toLongOrNull()
                ?.takeIf { it > 0 }
        val objectKey = exchange.requestHeaders.getFirst(names.objectKey)
        val (taken, step) = desk.begin(arrivedAtMs, known, objectKey, id, deadlineMs)
        request = taken
        if (taken != null) {
            val patienceMs = maxOf(1, taken.deadlineAtMs - arrivedAtMs)
            timer = exchange.ioThread.executeAfter({ timeUp() }, patienceMs, TimeUnit.MILLISECONDS)
            if (step is Step.Send || step is Step.Wait) watch.start()
        }
        perform(step)
    }

    private fun perform(step: Step) {
        when (step) {
            is Step.Send -> send(step)
            is Step.Wait -> await(step)
            is Step.Deliver -> deliver()
            is Step.Refuse -> end(OwnAnswer.refused(step.reason, step.retryAfterMs))
            is Step.Fail -> end(OwnAnswer.failed(step.detail))
        }
    }

    private fun await(step: Step.Wait) {
        context.log.waiting(id, known.workspace?.id, step.afterMs)
        exchange.ioThread.executeAfter({ resume() }, step.afterMs, TimeUnit.MILLISECONDS)
    }

    /** The request has waited for its workspace's allowance. */
    private fun resume() {
        val waiting = request
        when {
            isDone || waiting == null -> return
            isCallerGone -> finish(CALLER_LEFT, "caller-left") { }
            else -> perform(desk.resume(clock.nowMs(), waiting))
        }
    }

    private fun send(step: Step.Send) {
        val entry = step.worker.entry
        context.log.sending(id, entry, desk.version, step.worker.load(clock.nowMs()))
        val ownHeaders =
            listOfNotNull(
                names.deadline to step.timeoutMs.toString(),
                names.expectedWorker to entry.id.value,
                known.workspace?.let { names.workspace to it.id.value },
            )
        val httpCall =
            HttpCall(
                address = entry.address,
                method = method,
                target = target,
                headers = headers + ownHeaders,
                body = body,
                maxIdleMs = step.maxConnectionIdleMs,
                mostIdle = step.maxIdleConnections,
                connectTimeoutMs = minOf(CONNECT_TIMEOUT_MS, step.timeoutMs),
            )
        call = context.client.send(httpCall) { onEnd(it) }
    }

    private fun onEnd(end: CallEnd) {
        call = null
        val running = request ?: return
        val result = resultOf(end)
        context.log.ended(id, running.workers.last(), result)
        context.metrics.countAttempt(result)
        if (isCallerGone) {
            desk.abandon(clock.nowMs(), running, isWorkerSlow = false)
            return finish(CALLER_LEFT, "caller-left") { }
        }
        perform(desk.onResult(clock.nowMs(), running, result))
    }

    private fun resultOf(end: CallEnd): AttemptResult =
        when (end) {
            is CallEnd.NotSent -> AttemptResult.Unreachable(end.detail)
            is CallEnd.Broken -> AttemptResult.Unknown(end.detail)
            is CallEnd.Answered -> resultOfAnswer(end, id, names).also { if (it is AttemptResult.Answered) answer = end }
        }

    private fun deliver() {
        val given = checkNotNull(answer) { "request $id has no answer to deliver" }
        finish(given.status, "answered") {
            exchange.statusCode = given.status
            endToEndHeaders(given.headers, emptySet()).forEach { (name, value) ->
                exchange.responseHeaders.add(HttpString(name), value)
            }
            exchange.sendBody(given.body)
        }
    }

    private fun end(answer: OwnAnswer) = finish(answer.status, answer.reason) { exchange.send(answer, id) }

    private fun finish(
        status: Int,
        outcome: String,
        respond: () -> Unit,
    ) {
        if (isDone) return
        close()
        val tookMs = clock.nowMs() - arrivedAtMs
        context.log.finished(id, known, request, status, outcome, tookMs, desk.version)
        context.metrics.countRequest(known.route.id.value, outcome)
        context.metrics.recordDuration(outcome, tookMs)
        if (isCallerGone) return
        watch.stop()
        if (isDraining()) exchange.isPersistent = false
        if (!exchange.isComplete) respond()
    }

    /** The caller has waited for as long as it or the route allows. */
    private fun timeUp() {
        if (isDone) return
        request?.let { desk.abandon(clock.nowMs(), it, isWorkerSlow = true) }
        call?.cancel()
        end(OwnAnswer.timedOut)
    }

    /** The caller closed its connection: work that may be repeated is stopped, other work ends by itself. */
    private fun callerLeft() {
        isCallerGone = true
        exchange.isPersistent = false
        if (known.route.isIdempotent) {
            request?.let { desk.abandon(clock.nowMs(), it, isWorkerSlow = false) }
            call?.cancel()
            finish(CALLER_LEFT, "caller-left") { }
        }
        exchange.endExchange()
    }

    private fun close() {
        isDone = true
        timer?.remove()
        onDone(this)
    }

    private companion object {
        /** A worker answers a new connection within a few milliseconds, one in another region within some tens. */
        const val CONNECT_TIMEOUT_MS = 400L

        /** Status in logs for an answer that nobody waits for. */
        const val CALLER_LEFT = 499
    }
}

/** Headers of a caller that are not passed on: its key, and those that only this host may set. */
private fun ownHeaders(names: WireNames): Set<String> =
    setOf(
        Headers.AUTHORIZATION_STRING.lowercase(),
        names.workspace.lowercase(),
        names.expectedWorker.lowercase(),
        names.deadline.lowercase(),
    )

package io.kumquatmill.gateway.relay

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.caller.DisconnectWatch
import io.kumquatmill.gateway.caller.HttpHeaderNames
import io.kumquatmill.gateway.caller.endToEndHeaders
import io.kumquatmill.gateway.caller.identityFlaw
import io.kumquatmill.gateway.caller.parseWorkerWord
import io.kumquatmill.gateway.caller.rawTarget
import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.gateway.http.EventLoopHttpClient
import io.kumquatmill.gateway.http.HttpCall
import io.kumquatmill.gateway.http.OngoingCall
import io.kumquatmill.gateway.http.ResponseHead
import io.kumquatmill.gateway.log.AnswerSummary
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.gateway.response.closeConnection
import io.kumquatmill.gateway.response.sendBody
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.crash.ProbeResult
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.model.WorkerEntry
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import io.undertow.util.HttpString
import io.undertow.util.SameThreadExecutor

/**
 * Passes requests on for peers that are cut off from the workers, to the worker that the peer has chosen.
 *
 * The peer has checked the caller's key, route and limits, and counts the attempt; this host sends it once and returns what became of it.
 * It never passes a request on to a third host. Must be used on the event loop only.
 */
internal class RelayHandler(
    private val controller: TrafficController,
    private val httpClient: EventLoopHttpClient,
    private val headerNames: HttpHeaderNames,
    private val clock: MonotonicClock,
    private val log: RequestLog,
    private val metrics: GatewayMetrics,
    private val maxRelays: Int,
    private val isServing: () -> Boolean,
) : HttpHandler {
    /** Number of requests of peers that are in progress. */
    var activeCount = 0
        private set

    override fun handleRequest(exchange: HttpServerExchange) {
        val peerIp = exchange.sourceAddress.address.hostAddress
        if (!controller.isHost(peerIp)) return refuse(exchange, peerIp, "not a known host")
        exchange.requestReceiver.setMaxBufferSize(MAX_BODY_BYTES)
        exchange.requestReceiver.receiveFullBytes(
            { _, body -> exchange.dispatch(SameThreadExecutor.INSTANCE, Runnable { pass(exchange, peerIp, body) }) },
            { _, error ->
                exchange.isPersistent = false
                if (exchange.connection.isOpen) refuse(exchange, peerIp, "the body could not be read: ${error.javaClass.simpleName}")
            },
        )
    }

    private fun pass(
        exchange: HttpServerExchange,
        peerIp: String,
        body: ByteArray,
    ) {
        val id = exchange.requestHeaders.getFirst(RelayHeaders.WORKER)?.let { WorkerId(it) }
        val worker = id?.let { controller.relayTarget(it) }
        when {
            !isServing() || controller.isCutOff -> refuse(exchange, peerIp, "this host does not serve")
            worker == null -> refuse(exchange, peerIp, "no worker $id to send to")
            controller.isPaused(clock.nowMs(), worker) -> refuse(exchange, peerIp, "worker $id wants a pause")
            activeCount >= maxRelays -> refuse(exchange, peerIp, "$activeCount requests in progress")
            else -> Relay(exchange, peerIp, worker, body).start()
        }
    }

    private fun refuse(
        exchange: HttpServerExchange,
        peerIp: String,
        detail: String,
    ) = finish(exchange, peerIp, exchange.requestHeaders.getFirst(RelayHeaders.WORKER), RelayResult.REFUSED, detail, tookMs = 0)

    private fun finish(
        exchange: HttpServerExchange,
        peerIp: String,
        worker: String?,
        result: RelayResult,
        detail: String?,
        tookMs: Long,
        answer: AnswerSummary? = null,
    ) {
        log.passedOn(exchange.requestHeaders.getFirst(headerNames.requestId), peerIp, worker, result.wireName, detail, tookMs, answer)
        metrics.countRelay(result.wireName)
        if (exchange.isComplete) return
        exchange.responseHeaders.put(HttpString(RelayHeaders.RESULT), result.wireName)
        exchange.responseHeaders.put(HttpString(RelayHeaders.FRAMING), RelayHeaders.FRAMING_CHECKED)
        if (detail == null) return
        exchange.statusCode = UNAVAILABLE
        exchange.requestHeaders.getFirst(headerNames.requestId)?.let { exchange.responseHeaders.put(HttpString(headerNames.requestId), it) }
        exchange.responseHeaders.put(HttpString(RelayHeaders.DETAIL), detail.filter { it in ' '..'~' })
        exchange.sendBody(ByteArray(0))
    }

    private inner class Relay(
        private val exchange: HttpServerExchange,
        private val peerIp: String,
        private val worker: WorkerEntry,
        private val body: ByteArray,
    ) {
        private val sentAtMs = clock.nowMs()
        private val disconnectWatch = DisconnectWatch(exchange) { onPeerDisconnected() }
        private var call: OngoingCall? = null
        private var isFinished = false

        fun start() {
            activeCount++
            disconnectWatch.start()
            val requestId = exchange.requestHeaders.getFirst(headerNames.requestId)
            val timeLimitMs =
                exchange.requestHeaders
                    .getFirst(headerNames.deadline)
                    ?.toLongOrNull()
                    ?.takeIf { it > 0 } ?: DEFAULT_TIME_LIMIT_MS
            val httpCall =
                HttpCall(
                    address = worker.address,
                    method = exchange.requestMethod.toString(),
                    target = exchange.rawTarget,
                    headers = endToEndHeaders(exchange.requestHeaders, RelayHeaders.names),
                    body = body,
                    maxConnectionIdleMs = exchange.requestHeaders.getFirst(RelayHeaders.MAX_IDLE_MS)?.toLongOrNull() ?: 0,
                    connectTimeoutMs = minOf(CONNECT_TIMEOUT_MS, timeLimitMs),
                    timeoutMs = timeLimitMs,
                    requestId = requestId,
                    isOwnResponse = { response -> requestId == null || identityFlaw(response, requestId, headerNames) == null },
                    onHead = { onHead(it) },
                    mayKeepConnection = { !controller.isLeaving(worker) },
                )
            call = httpClient.send(httpCall) { onResult(it) }
        }

        private fun onHead(head: ResponseHead) {
            val isFirstAnswer = !head.use.isRepeat
            val id = exchange.requestHeaders.getFirst(headerNames.requestId)
            val word = parseWorkerWord(head.status, head.headers, id, isFirstAnswer, headerNames) ?: return
            metrics.countStatedPause(word.pause)
            controller.onWorkerWord(clock.nowMs(), worker, word)
        }

        private fun onResult(result: CallResult) {
            if (isFinished) return
            end()
            when (result) {
                is CallResult.Response -> respond(result)
                is CallResult.NotSent -> {
                    controller.onProbed(clock.nowMs(), worker, result.asProbe)
                    finish(exchange, peerIp, worker.id.value, RelayResult.UNREACHABLE, result.detail, tookMs())
                }
                is CallResult.Incomplete -> {
                    if (result.isConnectionLost) recordLost()
                    finish(exchange, peerIp, worker.id.value, RelayResult.INCOMPLETE, result.detail, tookMs())
                }
            }
        }

        private fun respond(response: CallResult.Response) {
            controller.onResponse(clock.nowMs(), worker.id, response.isConnectionReused)
            val result = if (response.isConnectionReused) RelayResult.RESPONSE_REUSED else RelayResult.RESPONSE
            if (response.use?.isRepeat == false) exchange.responseHeaders.put(HttpString(RelayHeaders.REPEAT), RelayHeaders.REPEAT_NO)
            finish(exchange, peerIp, worker.id.value, result, detail = null, tookMs(), AnswerSummary.of(response, headerNames))
            if (exchange.isComplete) return
            exchange.statusCode = response.status
            endToEndHeaders(response.headers, RelayHeaders.names).forEach { (name, value) ->
                exchange.responseHeaders.add(HttpString(name), value)
            }
            exchange.sendBody(response.body)
        }

        private fun recordLost() {
            val headers = exchange.requestHeaders
            val workspace = headers.getFirst(headerNames.workspace)?.let { WorkspaceId(it) }
            val host = headers.getFirst(Headers.HOST).orEmpty()
            val fingerprint = RequestFingerprint.of(exchange.requestMethod.toString(), host, exchange.rawTarget, workspace, body)
            controller.onRelayedRequestLost(clock.nowMs(), sentAtMs, worker, fingerprint)
        }

        private fun onPeerDisconnected() {
            exchange.isPersistent = false
            if (!isFinished) {
                end()
                call?.cancel()
                log.passedOn(exchange.requestHeaders.getFirst(headerNames.requestId), peerIp, worker.id.value, "peer-left", null, tookMs())
                metrics.countRelay("peer-left")
            }
            exchange.closeConnection()
        }

        private fun end() {
            isFinished = true
            activeCount--
            disconnectWatch.stop()
        }

        private fun tookMs() = clock.nowMs() - sentAtMs
    }

    private val CallResult.NotSent.asProbe: ProbeResult
        get() = if (isRefused) ProbeResult.REFUSED else ProbeResult.UNKNOWN

    private companion object {
        const val UNAVAILABLE = 503
        const val MAX_BODY_BYTES = 4 * 1024 * 1024

        /** A worker accepts a connection within a few milliseconds, in another region within a few tens of milliseconds. */
        const val CONNECT_TIMEOUT_MS = 400L

        /** Applies to peers that state no deadline; hosts always do. */
        const val DEFAULT_TIME_LIMIT_MS = 10_000L
    }
}

package io.kumquatmill.gateway.caller

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.http.LoopClient
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.undertow.io.Receiver
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.server.RequestTooBigException
import io.undertow.util.Headers
import io.undertow.util.SameThreadExecutor
import kotlin.math.min

/** What the handling of requests needs; all of it belongs to one event loop. */
class CallerContext(
    val names: WireNames,
    val desk: TrafficController,
    val client: LoopClient,
    val clock: MonotonicClock,
    val log: RequestLog,
    val metrics: GatewayMetrics,
    val maxConnections: Int,
)

/** Reads callers' requests and has each of them served; a request takes no thread. */
class CallerHandler(
    private val context: CallerContext,
) : HttpHandler {
    private val desk = context.desk
    private val open = LinkedHashSet<CallerRequest>()
    private val connections = CallerConnections(context.maxConnections) { context.metrics.countClosedIdle(it) }

    private var stop: StopTimes? = null

    /** Whether connections are closed after their answer, since this host stops. */
    val isDraining: Boolean
        get() = stop != null

    /** Requests that were read and are not answered yet. */
    val openRequests: Int
        get() = open.size

    /** Takes requests only as [times] allow from now on, and closes each connection after its answer. */
    fun drain(times: StopTimes) {
        stop = times
    }

    override fun handleRequest(exchange: HttpServerExchange) {
        connections.onRequest(exchange)
        if (exchange.hasUnclearLength) {
            exchange.isPersistent = false
            return answer(exchange, OwnAnswer.unclearLength)
        }
        val maxBytes = min(desk.maxBodyBytes, MAX_HELD_BODY_BYTES)
        if (desk.version != null && exchange.requestContentLength > maxBytes) {
            exchange.isPersistent = false
            return answer(exchange, OwnAnswer.tooLarge)
        }
        exchange.requestReceiver.setMaxBufferSize(maxBytes.toInt())
        exchange.requestReceiver.receiveFullBytes(
            { _, body -> onRead(exchange, body) },
            { _, error ->
                exchange.isPersistent = false
                val isTooLarge = error is Receiver.RequestToLargeException || error is RequestTooBigException
                if (exchange.connection.isOpen) answer(exchange, if (isTooLarge) OwnAnswer.tooLarge else OwnAnswer.unreadable)
            },
        )
    }

    private fun onRead(
        exchange: HttpServerExchange,
        body: ByteArray,
    ) {
        val id = exchange.requestHeaders.getFirst(context.names.requestId) ?: return answer(exchange, OwnAnswer.noRequestId)
        val host = exchange.requestHeaders.getFirst(Headers.HOST).orEmpty()
        when (val known = desk.resolve(host, exchange.rawPath, exchange.bearerKey)) {
            is RouteResolution.NotReady -> answer(exchange, OwnAnswer.starting)
            is RouteResolution.UnknownRoute -> answer(exchange, OwnAnswer.unknownRoute)
            is RouteResolution.UnknownKey -> answer(exchange, OwnAnswer.unknownKey)
            is RouteResolution.Resolved ->
                if (hasTimeFor(
                        exchange,
                        known,
                    )
                ) {
                    serve(exchange, id, body, known)
                } else {
                    answer(exchange, OwnAnswer.stopping)
                }
        }
    }

    /** Returns whether the request can be answered before this host is gone. */
    private fun hasTimeFor(
        exchange: HttpServerExchange,
        known: RouteResolution.Resolved,
    ): Boolean {
        val times = stop ?: return true
        val nowMs = context.clock.nowMs()
        val deadlineMs = exchange.requestHeaders.getFirst(context.names.deadline)?.toLongOrNull() ?: Long.MAX_VALUE
        val patienceMs = min(known.route.timeoutMs ?: Long.MAX_VALUE, deadlineMs)
        return nowMs < times.takesAllUntilMs || patienceMs <= times.stopsAtMs - nowMs
    }

    private fun serve(
        exchange: HttpServerExchange,
        id: String,
        body: ByteArray,
        known: RouteResolution.Resolved,
    ) {
        val request = CallerRequest(context, exchange, id, body, known, isDraining = { isDraining }) { open.remove(it) }
        open.add(request)
        // Answers may come at once or later, on this thread in both cases: the exchange stays open until then.
        exchange.dispatch(SameThreadExecutor.INSTANCE, Runnable { request.start() })
    }

    private fun answer(
        exchange: HttpServerExchange,
        answer: OwnAnswer,
    ) {
        val id = exchange.requestHeaders.getFirst(context.names.requestId)
        if (isDraining) exchange.isPersistent = false
        exchange.send(answer, id)
        context.metrics.countRequest(NO_ROUTE, answer.reason)
        context.log.unrouted(id, exchange.requestHeaders.getFirst(Headers.HOST), exchange.rawPath, answer, desk.version)
    }

    private companion object {
        /** Bodies are held whole, so that a request can go to another worker; larger ones are refused. */
        const val MAX_HELD_BODY_BYTES = 4L * 1024 * 1024
        const val NO_ROUTE = "none"
    }
}

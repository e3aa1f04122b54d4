package io.kumquatmill.gateway.caller

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.closing.LingeringClose
import io.kumquatmill.gateway.http.EventLoopHttpClient
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.undertow.io.Receiver
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.server.RequestTooBigException
import io.undertow.server.ServerConnection
import io.undertow.util.AttachmentKey
import io.undertow.util.Headers
import io.undertow.util.SameThreadExecutor
import kotlin.math.min

/**
 * Dependencies of request handling, all confined to one event loop.
 *
 * @property maxConnections maximum number of open caller connections
 * @property lingeringClose closes idle connections
 * @property peerPort port at which peers take requests to pass on
 */
class CallerContext(
    val headerNames: HttpHeaderNames,
    val controller: TrafficController,
    val httpClient: EventLoopHttpClient,
    val clock: MonotonicClock,
    val log: RequestLog,
    val metrics: GatewayMetrics,
    val loanWaiters: LoanWaiters,
    val maxConnections: Int,
    val lingeringClose: LingeringClose,
    val peerPort: Int,
)

/** Reads requests of callers and starts a [CallerRequest] for each one that is accepted. No request blocks a thread. */
class CallerHandler(
    private val context: CallerContext,
) : HttpHandler {
    private val controller = context.controller
    private val activeRequests = LinkedHashSet<CallerRequest>()
    private val connections =
        CallerConnections(
            context.maxConnections,
            ::hasRequestsAhead,
            context.lingeringClose,
            onIdleClosed = { context.metrics.countClosedIdleConnections(it) },
        )
    private val pipelines = PipelineContext(ReadAheadLimit(), context.metrics, context.log, { isDraining }, ::openAhead)
    private var drainSchedule: DrainSchedule? = null

    /** Whether this host is stopping and closes each connection after its response. */
    val isDraining: Boolean
        get() = drainSchedule != null

    /** Number of requests that were accepted and are not yet answered. */
    val activeRequestCount: Int
        get() = activeRequests.size

    /** Accepts requests only as [schedule] allows from now on, and closes each connection after its response. */
    fun drain(schedule: DrainSchedule) {
        drainSchedule = schedule
    }

    /** Reads ahead on connections that have waited for room; called several times a second. */
    fun tick() = pipelines.limit.notifyWaiting()

    override fun handleRequest(exchange: HttpServerExchange) {
        connections.onRequest(exchange)
        val pipeline = pipelineOf(exchange.connection)
        exchange.headFlaw?.let {
            exchange.isPersistent = false
            return reject(exchange, LocalResponse.malformedHead(it))
        }
        if (exchange.hasAmbiguousLength) {
            exchange.isPersistent = false
            return reject(exchange, LocalResponse.ambiguousLength)
        }
        val readAhead = if (pipeline.hasRequestsAhead) pipeline.take(ReceivedHead.of(exchange)) else null
        if (readAhead != null) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, Runnable { readAhead.attach(exchange) })
            return
        }
        val maxBodyBytes = min(controller.maxBodyBytes, MAX_BUFFERED_BODY_BYTES)
        if (controller.version != null && exchange.requestContentLength > maxBodyBytes) {
            exchange.isPersistent = false
            return reject(exchange, LocalResponse.bodyTooLarge)
        }
        exchange.requestReceiver.setMaxBufferSize(maxBodyBytes.toInt())
        exchange.requestReceiver.receiveFullBytes(
            { _, body -> onBodyRead(exchange, body) },
            { _, error ->
                exchange.isPersistent = false
                val isTooLarge = error is Receiver.RequestToLargeException || error is RequestTooBigException
                if (exchange.connection.isOpen) reject(exchange, if (isTooLarge) LocalResponse.bodyTooLarge else LocalResponse.unreadable)
            },
        )
    }

    private fun onBodyRead(
        exchange: HttpServerExchange,
        body: ByteArray,
    ) {
        val head = ReceivedHead.of(exchange)
        val ids = head.distinctValues(context.headerNames.requestId)
        if (ids.size > 1) return reject(exchange, LocalResponse.ambiguousRequestId)
        val id = ids.firstOrNull() ?: return reject(exchange, LocalResponse.missingRequestId)
        when (val resolved = controller.resolve(head.host, head.path, head.bearerKey)) {
            is RouteResolution.NotReady -> reject(exchange, LocalResponse.hostStarting)
            is RouteResolution.UnknownRoute -> reject(exchange, LocalResponse.unknownRoute)
            is RouteResolution.UnknownKey -> reject(exchange, LocalResponse.unknownKey)
            is RouteResolution.Resolved ->
                if (canFinishBeforeExit(head, resolved)) {
                    val request = open(pipelineOf(exchange.connection), head, id, body, resolved)
                    // The response is sent from this thread, now or later. Dispatching keeps the exchange open until then.
                    exchange.dispatch(SameThreadExecutor.INSTANCE, Runnable { request.start(exchange) })
                } else {
                    reject(exchange, LocalResponse.hostStopping)
                }
        }
    }

    /** Returns whether the request is certain to end before this host exits. */
    private fun canFinishBeforeExit(
        head: ReceivedHead,
        resolved: RouteResolution.Resolved,
    ): Boolean {
        val schedule = drainSchedule ?: return true
        val nowMs = context.clock.nowMs()
        val deadlineMs = head.headers.getFirst(context.headerNames.deadline)?.toLongOrNull() ?: Long.MAX_VALUE
        val timeLimitMs = min(resolved.route.timeoutMs ?: Long.MAX_VALUE, deadlineMs)
        return schedule.accepts(nowMs, timeLimitMs)
    }

    /** Returns the request with [head], which was read before its turn, or null if it can't be served early. */
    private fun openAhead(
        pipeline: CallerPipeline,
        head: ReceivedHead,
    ): CallerRequest? {
        val id = head.distinctValues(context.headerNames.requestId).singleOrNull() ?: return null
        val resolved = controller.resolve(head.host, head.path, head.bearerKey) as? RouteResolution.Resolved
        return if (resolved?.route?.isIdempotent == true) open(pipeline, head, id, NO_BODY, resolved) else null
    }

    private fun open(
        pipeline: CallerPipeline,
        head: ReceivedHead,
        id: String,
        body: ByteArray,
        resolved: RouteResolution.Resolved,
    ) = CallerRequest(context, pipeline, head, id, body, resolved) { activeRequests.remove(it) }.also { activeRequests.add(it) }

    private fun hasRequestsAhead(connection: ServerConnection) = connection.getAttachment(pipelineKey)?.hasRequestsAhead == true

    private fun pipelineOf(connection: ServerConnection): CallerPipeline =
        connection.getAttachment(pipelineKey) ?: CallerPipeline(connection, pipelines).also { pipeline ->
            connection.putAttachment(pipelineKey, pipeline)
            connection.addCloseListener { pipeline.onClosed() }
        }

    private fun reject(
        exchange: HttpServerExchange,
        response: LocalResponse,
    ) {
        val id = exchange.requestHeaders.getFirst(context.headerNames.requestId)
        pipelineOf(exchange.connection).beforeResponse(exchange)
        exchange.send(response, id)
        context.metrics.countRequest(NO_ROUTE, response.reason)
        context.log.requestRejected(id, exchange.requestHeaders.getFirst(Headers.HOST), exchange.rawPath, response, controller.version)
    }

    private companion object {
        /** Bodies are buffered whole, so that a request can be retried at another worker; larger ones are rejected. */
        const val MAX_BUFFERED_BODY_BYTES = 4L * 1024 * 1024
        const val NO_ROUTE = "none"
        val NO_BODY = ByteArray(0)
        val pipelineKey: AttachmentKey<CallerPipeline> = AttachmentKey.create(CallerPipeline::class.java)
    }
}

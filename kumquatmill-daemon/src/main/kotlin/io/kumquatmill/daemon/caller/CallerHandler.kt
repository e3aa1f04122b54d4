package io.kumquatmill.daemon.caller

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.gateway.caller.DisconnectWatch
import io.kumquatmill.gateway.caller.headFlaw
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.settings.RequestLimits
import io.undertow.io.Receiver
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.server.RequestTooBigException
import org.http4k.core.Request
import org.http4k.core.Response
import org.xnio.IoUtils
import org.xnio.XnioExecutor
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Non-blocking destination of caller events. */
internal fun interface EventSink {
    /** Queues [event], or returns false if the queue is full. */
    fun offer(event: NodeEvent): Boolean
}

/**
 * Reads callers' requests asynchronously and submits them to the node.
 *
 * Requests that are malformed, too large or too slow, or that exceed the limits on pending requests, are refused at once.
 */
internal class CallerHandler(
    private val limits: RequestLimits,
    private val pendingRequests: PendingRequests,
    private val clock: MonotonicClock,
    private val nextRequestId: () -> RequestId,
    private val requests: EventSink,
    private val cancellations: EventSink,
) : HttpHandler {
    private val activeExchanges = AtomicInteger()

    /** Whether each connection is closed behind its next response. */
    @Volatile
    var isStopping = false

    /** Number of admitted requests whose response has not been sent completely. */
    val activeExchangeCount: Int
        get() = activeExchanges.get()

    override fun handleRequest(exchange: HttpServerExchange) {
        exchange.headFlaw?.let {
            exchange.isPersistent = false
            return refuse(exchange, RefusalReason.MALFORMED_REQUEST, "$it: send each request whole")
        }
        if (exchange.requestContentLength > limits.maxBodyBytes) {
            exchange.isPersistent = false
            return refuse(exchange, RefusalReason.BODY_TOO_LARGE, null)
        }
        val timer = exchange.ioThread.executeAfter({ onBodyTimeout(exchange) }, limits.bodyTimeoutMs, TimeUnit.MILLISECONDS)
        exchange.requestReceiver.setMaxBufferSize(limits.maxBodyBytes.toInt())
        exchange.requestReceiver.receiveFullBytes(
            { _, body -> if (timer.remove() || body.isEmpty()) onBody(exchange, body) },
            { _, e -> onBodyError(exchange, timer, e) },
        )
    }

    private fun onBodyTimeout(exchange: HttpServerExchange) {
        if (exchange.isResponseStarted) return
        exchange.isPersistent = false
        refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the body did not arrive within ${limits.bodyTimeoutMs} ms: send it faster")
    }

    private fun onBodyError(
        exchange: HttpServerExchange,
        timer: XnioExecutor.Key,
        error: IOException,
    ) {
        timer.remove()
        if (exchange.isResponseStarted || !exchange.connection.isOpen) return
        exchange.isPersistent = false
        val isTooLarge = error is Receiver.RequestToLargeException || error is RequestTooBigException
        val reason = if (isTooLarge) RefusalReason.BODY_TOO_LARGE else RefusalReason.MALFORMED_REQUEST
        refuse(exchange, reason, if (isTooLarge) null else "the body can't be read (${error.message}): send it again")
    }

    private fun onBody(
        exchange: HttpServerExchange,
        body: ByteArray,
    ) {
        if (body.size > limits.maxBodyBytes) return refuse(exchange, RefusalReason.BODY_TOO_LARGE, null)
        val request = exchange.toHttp4kRequest()
        if (request == null) {
            return refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the method is unknown: use one of HTTP")
        }
        parseBearerKey(request).fold(
            { error -> refuse(exchange, RefusalReason.MALFORMED_REQUEST, error) },
            { key ->
                upstreamRequest(request, key, body).fold(
                    { error -> refuse(exchange, RefusalReason.MALFORMED_REQUEST, error) },
                    { upstreamRequest -> admit(exchange, request, upstreamRequest, key?.let(KeyHash::of)) },
                )
            },
        )
    }

    private fun admit(
        exchange: HttpServerExchange,
        request: Request,
        upstreamRequest: UpstreamRequest,
        keyHash: KeyHash?,
    ) {
        val id = nextRequestId()
        val disconnectWatch = DisconnectWatch(exchange) { onDisconnect(id, exchange) }
        val pendingRequest =
            PendingRequest(id, upstreamRequest, clock.nowMs()) { response ->
                exchange.ioThread.execute { send(exchange, disconnectWatch, response) }
            }
        if (activeExchanges.get() >= limits.maxRequestsInFlight || !pendingRequests.add(pendingRequest)) {
            return refuse(exchange, RefusalReason.QUEUE_FULL, null)
        }
        trackUntilComplete(exchange)
        exchange.dispatch(NO_OP)
        disconnectWatch.start()
        val event =
            NodeEvent.RequestArrived(
                request = id,
                keyHash = keyHash,
                method = request.method.name,
                path = request.uri.path,
                bodyBytes = upstreamRequest.body.size.toLong(),
                idempotencyKey = request.header(HeaderNames.IDEMPOTENCY_KEY),
                deadlineMs = request.header(HeaderNames.DEADLINE_MS)?.toLongOrNull()?.takeIf { it > 0 },
            )
        if (!requests.offer(event)) {
            pendingRequests.remove(id)
            pendingRequest.respond(refusalResponse(Outcome.NotRun(RefusalReason.QUEUE_FULL, RETRY_AFTER_MS), id))
        }
    }

    private fun trackUntilComplete(exchange: HttpServerExchange) {
        activeExchanges.incrementAndGet()
        exchange.addExchangeCompleteListener { _, next ->
            activeExchanges.decrementAndGet()
            next.proceed()
        }
    }

    private fun onDisconnect(
        id: RequestId,
        exchange: HttpServerExchange,
    ) {
        if (pendingRequests.remove(id) != null) cancellations.offer(NodeEvent.RequestCancelled(id))
        exchange.isPersistent = false
        exchange.endExchange()
    }

    private fun send(
        exchange: HttpServerExchange,
        disconnectWatch: DisconnectWatch,
        response: Response,
    ) {
        disconnectWatch.stop()
        if (exchange.isComplete) return
        if (isStopping) exchange.isPersistent = false
        closeIfNotReceived(exchange)
        exchange.send(response)
    }

    /** Closes the connection if the caller does not receive the whole response within the idle timeout. */
    private fun closeIfNotReceived(exchange: HttpServerExchange) {
        val close = Runnable { IoUtils.safeClose(exchange.connection) }
        val timer = exchange.ioThread.executeAfter(close, limits.idleTimeoutMs, TimeUnit.MILLISECONDS)
        exchange.addExchangeCompleteListener { _, next ->
            timer.remove()
            next.proceed()
        }
    }

    private fun refuse(
        exchange: HttpServerExchange,
        reason: RefusalReason,
        detail: String?,
    ) = exchange.send(refusalResponse(Outcome.NotRun(reason, RETRY_AFTER_MS), request = null, detail))

    private companion object {
        const val RETRY_AFTER_MS = 1_000L

        /** Task to dispatch so that Undertow keeps the exchange open after the handler returns. */
        val NO_OP = Runnable { }
    }
}

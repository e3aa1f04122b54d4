package io.kumquatmill.daemon.caller

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.gateway.caller.DisconnectWatch
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

/** Takes the node's events of callers; returns false when there is no room. */
internal fun interface RequestSink {
    fun offer(event: NodeEvent): Boolean
}

/**
 * Reads callers' requests and hands them to the node, without a thread for each.
 *
 * It answers at once when a request is malformed, too large, too slow, or when there is no room for it.
 */
internal class CallerHandler(
    private val limits: RequestLimits,
    private val pending: PendingRequests,
    private val clock: MonotonicClock,
    private val nextRequestId: () -> RequestId,
    private val requests: RequestSink,
    private val cancellations: RequestSink,
) : HttpHandler {
    private val unfinished = AtomicInteger()

    /** Number of requests that were read and whose answer has not been sent to its end. */
    val unfinishedExchanges: Int
        get() = unfinished.get()

    override fun handleRequest(exchange: HttpServerExchange) {
        if (exchange.requestContentLength > limits.maxBodyBytes) {
            exchange.isPersistent = false
            return refuse(exchange, RefusalReason.BODY_TOO_LARGE, null)
        }
        val timer = exchange.ioThread.executeAfter({ onSlowBody(exchange) }, limits.bodyTimeoutMs, TimeUnit.MILLISECONDS)
        exchange.requestReceiver.setMaxBufferSize(limits.maxBodyBytes.toInt())
        exchange.requestReceiver.receiveFullBytes(
            { _, body -> if (timer.remove() || body.isEmpty()) onBody(exchange, body) },
            { _, e -> onBodyError(exchange, timer, e) },
        )
    }

    private fun onSlowBody(exchange: HttpServerExchange) {
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
        keyOf(request).fold(
            { fault -> refuse(exchange, RefusalReason.MALFORMED_REQUEST, fault) },
            { key ->
                upstreamRequest(request, key, body).fold(
                    { fault -> refuse(exchange, RefusalReason.MALFORMED_REQUEST, fault) },
                    { upstream -> admit(exchange, request, upstream, key?.let(KeyHash::of)) },
                )
            },
        )
    }

    private fun admit(
        exchange: HttpServerExchange,
        request: Request,
        upstream: UpstreamRequest,
        keyHash: KeyHash?,
    ) {
        val id = nextRequestId()
        val watch = DisconnectWatch(exchange) { onDisconnect(id, exchange) }
        val waiting =
            PendingRequest(id, upstream, clock.nowMs()) { response -> exchange.ioThread.execute { send(exchange, watch, response) } }
        if (unfinished.get() >= limits.maxRequestsInFlight || !pending.add(waiting)) return refuse(exchange, RefusalReason.QUEUE_FULL, null)
        countUntilSent(exchange)
        exchange.dispatch(NOTHING)
        watch.start()
        val event =
            NodeEvent.RequestArrived(
                request = id,
                keyHash = keyHash,
                method = request.method.name,
                path = request.uri.path,
                bodyBytes = upstream.body.size.toLong(),
                idempotencyKey = request.header(HeaderNames.IDEMPOTENCY_KEY),
                deadlineMs = request.header(HeaderNames.DEADLINE_MS)?.toLongOrNull()?.takeIf { it > 0 },
            )
        if (!requests.offer(event)) {
            pending.remove(id)
            waiting.answer(refusalResponse(Outcome.NotRun(RefusalReason.QUEUE_FULL, RETRY_AFTER_MS), id))
        }
    }

    private fun countUntilSent(exchange: HttpServerExchange) {
        unfinished.incrementAndGet()
        exchange.addExchangeCompleteListener { _, next ->
            unfinished.decrementAndGet()
            next.proceed()
        }
    }

    private fun onDisconnect(
        id: RequestId,
        exchange: HttpServerExchange,
    ) {
        if (pending.remove(id) != null) cancellations.offer(NodeEvent.RequestCancelled(id))
        exchange.isPersistent = false
        exchange.endExchange()
    }

    private fun send(
        exchange: HttpServerExchange,
        watch: DisconnectWatch,
        response: Response,
    ) {
        watch.stop()
        if (exchange.isComplete) return
        closeWhenUnread(exchange)
        exchange.send(response)
    }

    private fun closeWhenUnread(exchange: HttpServerExchange) {
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
        val NOTHING = Runnable { }
    }
}

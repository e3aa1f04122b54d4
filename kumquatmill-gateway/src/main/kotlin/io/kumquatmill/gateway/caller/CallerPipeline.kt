package io.kumquatmill.gateway.caller

import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.gateway.metrics.ReadAheadEvent
import io.undertow.server.HttpServerExchange
import io.undertow.server.ServerConnection
import org.xnio.XnioExecutor
import kotlin.math.max

/**
 * What the pipelines of all connections of a host share.
 *
 * @param open returns the request with a head that was read ahead, or null if it must be left to the ordinary path
 */
internal class PipelineContext(
    val limit: ReadAheadLimit,
    val metrics: GatewayMetrics,
    val log: RequestLog,
    val isDraining: () -> Boolean,
    val open: (pipeline: CallerPipeline, head: ReceivedHead) -> PipelinedRequest?,
)

/**
 * Requests of one caller's connection, in order: the one in progress, and those behind it that were read ahead and started.
 *
 * The server reads the bytes of a request that was started again when its turn comes; [take] then returns the request that was started at
 * this position, provided that the server has read the same head. Must be used on the connection's I/O thread only.
 */
internal class CallerPipeline(
    connection: ServerConnection,
    private val context: PipelineContext,
) {
    /** Thread of the connection, which runs timers. */
    val loop: XnioExecutor = connection.ioThread
    private val limit = context.limit
    private val reader = PipelineReader(connection, limit, onBytes = { startRequests() }, onEndOfStream = { onDisconnected() })
    private val started = ArrayDeque<StartedRequest>()
    private var current: PipelinedRequest? = null

    /** Size in bytes of the heads of the [started] requests, which are the first bytes that [reader] gets. */
    private var startedHeadBytes = 0

    /** Index from which the end of the next head is searched, so that a head in small parts is not searched from its start for each. */
    private var searchFrom = 0
    private var heldBytes = 0
    private var largestResponseBytes = 0
    private var mayStart = false

    /** Starts requests in a turn of their own, since room is released while a request of another connection is being served. */
    private val onRoom: () -> Unit = { loop.execute { if (current != null) startRequests() } }

    /** Whether requests were read ahead that are not yet answered. */
    val hasRequestsAhead: Boolean
        get() = started.isNotEmpty()

    private class StartedRequest(
        val request: PipelinedRequest,
        val headBytes: Int,
    ) {
        var heldBytes = 0
        var isDiscarded = false

        val isUnanswered: Boolean
            get() = heldBytes == 0 && !isDiscarded
    }

    /** Reads what has arrived behind [request], which is not started yet, and returns whether the caller has closed its connection. */
    fun detectDisconnect(request: PipelinedRequest): Boolean {
        current = request
        mayStart = false
        reader.start()
        reader.read()
        return current == null
    }

    /** Reads on while [request] is in progress, in order to detect that the caller disconnects, and to start requests behind it. */
    fun watch(
        request: PipelinedRequest,
        exchange: HttpServerExchange,
    ) {
        current = request
        mayStart = request.allowsOthersBehind && exchange.isPersistent
        searchFrom = startedHeadBytes
        reader.start()
        startRequests()
    }

    /** Ends reading, and cancels the requests behind [exchange] if its response is the last one. Must be called before it is sent. */
    fun beforeResponse(exchange: HttpServerExchange) {
        current = null
        stopReading()
        // Requests that were sent to a worker are answered before the connection is closed.
        if (context.isDraining() && started.isEmpty()) exchange.isPersistent = false
        if (!exchange.isPersistent) cancelStarted(CONNECTION_CLOSED)
    }

    /** Returns the request that was started for [head], which the server has read as the next one, or null to serve it as any other. */
    fun take(head: ReceivedHead): PipelinedRequest? {
        val next = started.removeFirstOrNull() ?: return null
        startedHeadBytes -= next.headBytes
        releaseHeld(next)
        if (next.isDiscarded) return null
        if (next.request.head.isSameAs(head)) {
            context.metrics.countReadAhead(ReadAheadEvent.TAKEN)
            return next.request
        }
        context.metrics.countReadAhead(ReadAheadEvent.MISMATCHED)
        context.log.readAheadMismatched(next.request.id, head.method, head.path)
        next.request.cancel(MISMATCHED)
        cancelStarted(MISMATCHED)
        return null
    }

    /**
     * Holds [bytes] of the response to [request] until its turn comes. Returns false if there is no room for them: the request, which may
     * be repeated, then runs again in its turn.
     */
    fun hold(
        request: PipelinedRequest,
        bytes: Int,
    ): Boolean {
        val entry = started.firstOrNull { it.request === request } ?: return false
        if (limit.tryHoldResponse(heldBytes, bytes)) {
            entry.heldBytes = bytes
            heldBytes += bytes
            return true
        }
        entry.isDiscarded = true
        context.metrics.countReadAhead(ReadAheadEvent.DISCARDED)
        return false
    }

    /** Notes that the body of a response on this connection has [bytes]; further ones are expected to be as large. */
    fun onResponse(bytes: Int) {
        largestResponseBytes = max(largestResponseBytes, bytes)
    }

    /** Cancels all requests behind the one in progress, because the connection was closed. */
    fun onClosed() {
        current = null
        stopReading()
        cancelStarted(CALLER_LEFT)
    }

    private fun stopReading() {
        limit.stopWaiting(onRoom)
        reader.stop()
    }

    private fun onDisconnected() {
        val request = current
        current = null
        limit.stopWaiting(onRoom)
        cancelStarted(CALLER_LEFT)
        request?.onCallerDisconnected()
    }

    /** Starts the complete requests behind the one in progress, which must not end because of an error in one of them. */
    @Suppress("TooGenericExceptionCaught")
    private fun startRequests() {
        if (reader.size < startedHeadBytes) return
        try {
            while (mayStart && !context.isDraining() && hasRoom()) {
                val parsed = PipelinedHeadParser.parse(reader.bytes, startedHeadBytes, reader.size, searchFrom)
                if (parsed == PipelinedHead.Partial) {
                    searchFrom = PipelinedHeadParser.nextSearchFrom(startedHeadBytes, reader.size)
                    return
                }
                mayStart = parsed is PipelinedHead.Complete && start(parsed)
            }
        } catch (e: RuntimeException) {
            // What has not been started is left to the ordinary path, where the request fails in its position.
            mayStart = false
            context.log.readAheadFailed(current?.id, started.size, e)
        }
    }

    /** Starts the request with the head that was [parsed]. Returns false if it must be left to the ordinary path. */
    private fun start(parsed: PipelinedHead.Complete): Boolean {
        val request = context.open(this, parsed.head) ?: return false
        started.addLast(StartedRequest(request, parsed.sizeBytes))
        startedHeadBytes += parsed.sizeBytes
        searchFrom = startedHeadBytes
        request.startAhead()
        context.metrics.countReadAhead(ReadAheadEvent.STARTED)
        context.log.readAhead(request.id, current?.id, started.size, parsed.sizeBytes)
        return true
    }

    private fun hasRoom(): Boolean {
        val unanswered = started.count { it.isUnanswered }
        val hasRoom = limit.mayStart(started.size, unanswered, heldBytes, largestResponseBytes)
        if (!hasRoom && reader.size > startedHeadBytes) limit.awaitStart(unanswered, largestResponseBytes, onRoom)
        return hasRoom
    }

    private fun cancelStarted(outcome: String) {
        startedHeadBytes = 0
        while (true) {
            val entry = started.removeFirstOrNull() ?: return
            releaseHeld(entry)
            if (entry.isDiscarded) continue
            context.metrics.countReadAhead(ReadAheadEvent.CANCELLED)
            entry.request.cancel(outcome)
        }
    }

    private fun releaseHeld(entry: StartedRequest) {
        limit.release(entry.heldBytes)
        heldBytes -= entry.heldBytes
        entry.heldBytes = 0
    }

    private companion object {
        const val CALLER_LEFT = "caller-left"
        const val CONNECTION_CLOSED = "connection-closed"
        const val MISMATCHED = "read-ahead-mismatched"
    }
}

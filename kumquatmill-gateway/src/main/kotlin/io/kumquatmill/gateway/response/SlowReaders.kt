package io.kumquatmill.gateway.response

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.caller.rawPath
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.server.ServerConnection
import io.undertow.util.AttachmentKey

/**
 * Writes the bodies of responses on all ports of a host, counts those that are not written completely, and closes connections of callers
 * and peers that read too slowly, as [UnreadResponses] decides. Must be used on the event loop only.
 */
internal class SlowReaders(
    private val clock: MonotonicClock,
    private val metrics: GatewayMetrics,
    private val log: RequestLog,
    private val unread: UnreadResponses<BodyWriter> = UnreadResponses(),
) {
    /** Number of responses that are not written completely. */
    val unwrittenCount: Int
        get() = unread.count

    /** Body that is being written on one connection; Undertow offers no way to remove a close listener, so there is one a connection. */
    private class Writing(
        connection: ServerConnection,
    ) {
        var writer: BodyWriter? = null

        init {
            connection.addCloseListener { writer?.end() }
        }
    }

    /** Returns [handler] with its responses counted: [sendBody] needs that. */
    fun countingResponses(handler: HttpHandler) =
        HttpHandler { exchange ->
            exchange.connection.putAttachment(key, this)
            handler.handleRequest(exchange)
        }

    /** Sends [body] as the complete response body of [exchange], and counts it until it is written or the connection is closed. */
    fun send(
        exchange: HttpServerExchange,
        body: ByteArray,
    ) {
        val writer = BodyWriter(exchange, body, onEnded = { unread.remove(it) })
        writer.start()
        if (writer.isEnded) return
        writingOf(exchange.connection).writer = writer
        unread.add(clock.nowMs(), writer, body.size.toLong(), writer.writtenBytes.toLong())
        if (unread.isExceeded) closeSlowest()
    }

    /** Notes who has read on; called several times a second. */
    fun tick() {
        unread.observe(clock.nowMs()) { it.writtenBytes.toLong() }
        metrics.setUnreadResponseBytes(unread.totalBytes)
    }

    private fun writingOf(connection: ServerConnection) =
        connection.getAttachment(writingKey) ?: Writing(connection).also { connection.putAttachment(writingKey, it) }

    private fun closeSlowest() {
        tick()
        unread.takeExcess().forEach { writer ->
            metrics.countClosedSlowCaller()
            log.slowCallerClosed(writer.exchange.rawPath, writer.writtenBytes.toLong(), writer.sizeBytes.toLong())
            writer.close()
        }
    }

    companion object {
        /** What writes the responses of a connection. */
        val key: AttachmentKey<SlowReaders> = AttachmentKey.create(SlowReaders::class.java)
        private val writingKey: AttachmentKey<Writing> = AttachmentKey.create(Writing::class.java)
    }
}

/** Sends [body] as the complete response body. */
internal fun HttpServerExchange.sendBody(body: ByteArray) {
    responseContentLength = body.size.toLong()
    checkNotNull(connection.getAttachment(SlowReaders.key)) { "no handler of SlowReaders has seen the exchange" }.send(this, body)
}

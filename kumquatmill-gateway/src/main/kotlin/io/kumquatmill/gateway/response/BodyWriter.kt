package io.kumquatmill.gateway.response

import io.kumquatmill.gateway.http.TransferBuffer
import io.undertow.server.HttpServerExchange
import org.xnio.ChannelListener
import org.xnio.IoUtils
import org.xnio.channels.StreamSinkChannel
import java.io.IOException
import java.nio.ByteBuffer

/**
 * Writes the body of the response on [exchange], and ends the exchange. The body is referred to until its last byte is written or the
 * connection is closed, and no longer. Must be used on the event loop only.
 *
 * @param onEnded called once, when the body is not referred to any more
 */
class BodyWriter(
    val exchange: HttpServerExchange,
    body: ByteArray,
    private val onEnded: (BodyWriter) -> Unit,
) {
    val sizeBytes: Int = body.size
    private var unwritten = ByteBuffer.wrap(body)

    /** Whether the last byte is written, or none will be because the connection is closed. */
    var isEnded = false
        private set

    /** Number of bytes that the operating system has taken, which the reader may not have read yet. */
    val writtenBytes: Int
        get() = sizeBytes - unwritten.remaining()

    /** Writes what the connection takes at once; the rest follows as its peer reads. */
    fun start() {
        val channel = checkNotNull(exchange.responseChannel) { "the response has a body already: send one body an exchange" }
        channel.writeSetter.set(ChannelListener { write(it) })
        write(channel)
    }

    private fun write(channel: StreamSinkChannel) {
        if (isEnded) return
        try {
            while (unwritten.hasRemaining()) {
                if (TransferBuffer.write(channel, unwritten) == 0) return channel.resumeWrites()
            }
        } catch (_: IOException) {
            return close()
        }
        end()
        exchange.endExchange()
    }

    /** Closes the connection before the body is written. */
    fun close() {
        end()
        exchange.closeConnection()
    }

    /** Releases the body, because its last byte is written or its connection is closed; no effect if it was released before. */
    fun end() {
        if (isEnded) return
        isEnded = true
        unwritten = EMPTY
        onEnded(this)
    }

    private companion object {
        val EMPTY: ByteBuffer = ByteBuffer.allocate(0)
    }
}

/** Closes the connection without a response. An exchange that only ends sends an empty success to a caller that still reads. */
internal fun HttpServerExchange.closeConnection() {
    IoUtils.safeClose(connection)
    endExchange()
}

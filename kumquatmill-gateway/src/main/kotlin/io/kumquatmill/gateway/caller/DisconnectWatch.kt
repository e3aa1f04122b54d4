package io.kumquatmill.gateway.caller

import io.undertow.connector.PooledByteBuffer
import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpServerExchange
import org.xnio.ChannelListener
import org.xnio.conduits.ConduitStreamSourceChannel
import java.io.IOException

/**
 * Notices that a caller closes its connection while its request is under way.
 *
 * Undertow reads nothing from a connection until the answer is out, so the watch reads in its place. Bytes of a following
 * request are handed back to the connection. All methods run on the connection's thread.
 */
class DisconnectWatch(
    private val exchange: HttpServerExchange,
    private val onDisconnect: () -> Unit,
) {
    private val connection = exchange.connection as? AbstractServerConnection
    private var formerListener: ChannelListener<in ConduitStreamSourceChannel>? = null
    private var isWatching = false

    fun start() {
        val channel = connection?.channel?.sourceChannel ?: return
        if (connection.extraBytes != null) return
        formerListener = channel.readListener
        isWatching = true
        channel.setReadListener { read() }
        connection.originalSourceConduit.resumeReads()
    }

    /** Gives the connection back to Undertow, before the answer is sent. */
    fun stop() {
        if (!isWatching) return
        isWatching = false
        val channel = connection?.channel?.sourceChannel ?: return
        connection.originalSourceConduit.suspendReads()
        channel.setReadListener(formerListener)
    }

    private fun read() {
        val owner = connection ?: return
        val pooled = exchange.connection.byteBufferPool.allocate()
        val count =
            try {
                owner.originalSourceConduit.read(pooled.buffer)
            } catch (_: IOException) {
                END_OF_STREAM
            }
        when {
            count > 0 -> handBack(pooled)
            count == 0 -> pooled.close()
            else -> pooled.close().also { disconnected() }
        }
    }

    private fun handBack(pooled: PooledByteBuffer) {
        pooled.buffer.flip()
        connection?.extraBytes = pooled
        stop()
    }

    private fun disconnected() {
        stop()
        onDisconnect()
    }

    private companion object {
        const val END_OF_STREAM = -1
    }
}

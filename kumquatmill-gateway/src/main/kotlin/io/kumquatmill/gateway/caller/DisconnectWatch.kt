package io.kumquatmill.gateway.caller

import io.undertow.connector.PooledByteBuffer
import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpServerExchange
import org.xnio.ChannelListener
import org.xnio.conduits.ConduitStreamSourceChannel
import java.io.IOException

/**
 * Detects that a caller closes its connection while its request is in progress, and calls [onDisconnect].
 *
 * Undertow does not read from a connection until the response is sent, so the watch reads in its place. Bytes of a pipelined request
 * are pushed back to the connection. All methods must run on the connection's I/O thread.
 */
class DisconnectWatch(
    private val exchange: HttpServerExchange,
    private val onDisconnect: () -> Unit,
) {
    private val connection = exchange.connection as? AbstractServerConnection
    private var undertowListener: ChannelListener<in ConduitStreamSourceChannel>? = null
    private var isWatching = false

    /** Starts to watch; does nothing when bytes of a further request have already been read. */
    fun start() {
        val channel = connection?.channel?.sourceChannel ?: return
        if (connection.extraBytes != null) return
        undertowListener = channel.readListener
        isWatching = true
        channel.setReadListener { read() }
        connection.originalSourceConduit.resumeReads()
    }

    /** Restores the read listener of Undertow. Must be called before the response is sent. */
    fun stop() {
        if (!isWatching) return
        isWatching = false
        val channel = connection?.channel?.sourceChannel ?: return
        connection.originalSourceConduit.suspendReads()
        channel.setReadListener(undertowListener)
    }

    private fun read() {
        val serverConnection = connection ?: return
        val pooled = exchange.connection.byteBufferPool.allocate()
        val count =
            try {
                serverConnection.originalSourceConduit.read(pooled.buffer)
            } catch (_: IOException) {
                END_OF_STREAM
            }
        when {
            count > 0 -> returnBytes(pooled)
            count == 0 -> pooled.close()
            else -> pooled.close().also { onEndOfStream() }
        }
    }

    private fun returnBytes(pooled: PooledByteBuffer) {
        pooled.buffer.flip()
        connection?.extraBytes = pooled
        stop()
    }

    private fun onEndOfStream() {
        stop()
        onDisconnect()
    }

    private companion object {
        const val END_OF_STREAM = -1
    }
}

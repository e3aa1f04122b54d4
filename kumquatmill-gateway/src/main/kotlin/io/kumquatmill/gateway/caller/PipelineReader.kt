package io.kumquatmill.gateway.caller

import io.undertow.connector.PooledByteBuffer
import io.undertow.server.AbstractServerConnection
import io.undertow.server.ServerConnection
import io.undertow.util.ImmediatePooledByteBuffer
import org.xnio.ChannelListener
import org.xnio.conduits.ConduitStreamSourceChannel
import java.io.IOException
import java.nio.ByteBuffer

/**
 * Reads what a caller sends while one of its requests is in progress, within [limit], and gives it back to the server unchanged.
 *
 * Undertow does not read from a connection until the response is sent, so this class reads in its place. All methods must run on the
 * connection's I/O thread.
 *
 * @param onBytes called when [bytes] has grown
 * @param onEndOfStream called when the caller has closed its connection; nothing is read after that
 */
internal class PipelineReader(
    connection: ServerConnection,
    private val limit: ReadAheadLimit,
    private val onBytes: () -> Unit,
    private val onEndOfStream: () -> Unit,
) {
    private val connection = connection as? AbstractServerConnection
    private var undertowListener: ChannelListener<in ConduitStreamSourceChannel>? = null
    private var isReading = false
    private val onRoom: () -> Unit = { resume() }

    /** Bytes that were read and not yet given back; only the first [size] are valid. */
    var bytes = EMPTY
        private set
    var size = 0
        private set

    /** Takes the bytes that the server has read beyond the request in progress, and starts to read. */
    fun start() {
        val serverConnection = connection ?: return
        if (isReading) return
        isReading = true
        serverConnection.extraBytes?.let { pooled ->
            serverConnection.extraBytes = null
            pooled.use { append(it.buffer) }
        }
        val channel = serverConnection.channel.sourceChannel
        undertowListener = channel.readListener
        channel.setReadListener { read() }
        resume()
    }

    /** Restores the read listener of Undertow and gives the bytes back. Must be called before the response is sent. */
    fun stop() {
        if (!isReading) return
        val serverConnection = connection ?: return
        release()
        if (size > 0) serverConnection.extraBytes = returnedBytes(serverConnection)
        discard()
    }

    private fun release() {
        isReading = false
        limit.stopWaiting(onRoom)
        val channel = connection?.channel?.sourceChannel ?: return
        connection.originalSourceConduit.suspendReads()
        channel.setReadListener(undertowListener)
    }

    private fun discard() {
        limit.release(size)
        bytes = EMPTY
        size = 0
    }

    /** The server reads the rest of an incomplete head into the same buffer, so a small one of its own pool is preferred. */
    private fun returnedBytes(serverConnection: AbstractServerConnection): PooledByteBuffer {
        val pooled = serverConnection.byteBufferPool.allocate()
        if (pooled.buffer.remaining() < size) {
            pooled.close()
            return ImmediatePooledByteBuffer(ByteBuffer.wrap(bytes, 0, size).slice())
        }
        pooled.buffer.put(bytes, 0, size).flip()
        return pooled
    }

    private fun resume() {
        val conduit = connection?.originalSourceConduit ?: return
        if (limit.readableBytes(size) > 0) {
            conduit.resumeReads()
        } else {
            conduit.suspendReads()
            limit.awaitReadable(onRoom)
        }
    }

    /** Reads all that has arrived, so that requests of a caller that has already left are not started. No effect before [start]. */
    fun read() {
        val serverConnection = connection ?: return
        if (!isReading) return
        val sizeBefore = size
        var count: Int
        do {
            count = readOnce(serverConnection)
        } while (count > 0)
        if (count < 0) return endOfStream()
        if (size > sizeBefore) onBytes()
        if (isReading) resume()
    }

    private fun readOnce(serverConnection: AbstractServerConnection): Int =
        serverConnection.byteBufferPool.allocate().use { pooled ->
            val buffer = pooled.buffer
            buffer.limit(minOf(buffer.limit(), limit.readableBytes(size)))
            // A buffer without room reads nothing, which is no end of the stream.
            val count = if (buffer.hasRemaining()) tryRead(serverConnection, buffer) else 0
            buffer.flip()
            if (count > 0) append(buffer)
            count
        }

    private fun tryRead(
        serverConnection: AbstractServerConnection,
        buffer: ByteBuffer,
    ): Int =
        try {
            serverConnection.originalSourceConduit.read(buffer)
        } catch (_: IOException) {
            END_OF_STREAM
        }

    private fun endOfStream() {
        release()
        discard()
        onEndOfStream()
    }

    private fun append(buffer: ByteBuffer) {
        val count = buffer.remaining()
        if (size + count > bytes.size) bytes = bytes.copyOf(maxOf(size + count, 2 * bytes.size))
        buffer.get(bytes, size, count)
        size += count
        limit.holdHeads(count)
    }

    private companion object {
        val EMPTY = ByteArray(0)
        const val END_OF_STREAM = -1
    }
}

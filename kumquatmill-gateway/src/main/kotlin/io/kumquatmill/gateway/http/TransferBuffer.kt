package io.kumquatmill.gateway.http

import org.xnio.conduits.StreamSourceConduit
import java.nio.ByteBuffer
import java.nio.channels.WritableByteChannel
import kotlin.math.min

/**
 * Writes and drops bytes through a buffer that all connections of a thread share.
 *
 * Undertow's connections refer to the last buffer that they were given until they write the next message. Given a whole body, an idle
 * connection keeps it in memory.
 */
internal object TransferBuffer {
    private const val BYTES = 64 * 1024
    private val buffers = ThreadLocal.withInitial { ByteBuffer.allocateDirect(BYTES) }

    /** Writes as many of the [unwritten] bytes as [channel] takes at once, and returns their number; advances their position by it. */
    fun write(
        channel: WritableByteChannel,
        unwritten: ByteBuffer,
    ): Int {
        val buffer = buffers.get().clear()
        val part = unwritten.slice().run { limit(min(limit(), buffer.remaining())) }
        buffer.put(part).flip()
        channel.write(buffer)
        val count = buffer.position()
        unwritten.position(unwritten.position() + count)
        return count
    }

    /** Reads what [source] has, as far as it fits into the buffer, and drops it; returns the number of bytes, or -1 at the end. */
    fun drop(source: StreamSourceConduit): Int = source.read(buffers.get().clear())
}

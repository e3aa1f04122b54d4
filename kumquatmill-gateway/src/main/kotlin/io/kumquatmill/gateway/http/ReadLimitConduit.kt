package io.kumquatmill.gateway.http

import org.xnio.channels.StreamSinkChannel
import org.xnio.conduits.AbstractStreamSourceConduit
import org.xnio.conduits.StreamSourceConduit
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel

/**
 * Limits the bytes that a server may send which are not part of a body: heads, interim responses, chunk sizes and trailers.
 *
 * Undertow's client keeps a header line in memory until it ends, and reads on as long as bytes arrive. A read beyond the limit throws an
 * [IOException], on which the client closes the connection.
 */
internal class ReadLimitConduit(
    next: StreamSourceConduit,
) : AbstractStreamSourceConduit<StreamSourceConduit>(next) {
    private var allowedBytes = MAX_HEAD_BYTES
    private var isInBody = false

    /** Starts the limit for the head of the next response. */
    fun onRequest() {
        allowedBytes = MAX_HEAD_BYTES
        isInBody = false
    }

    /** Starts the limit for what surrounds the parts of a body. */
    fun onHead() {
        allowedBytes = MAX_HEAD_BYTES
        isInBody = true
    }

    /** Allows the [count] bytes of a body that were read, with a usual amount of bytes around them. */
    fun onBodyBytes(count: Int) {
        allowedBytes += count * (1L + FRAMING_BYTES_PER_BYTE)
    }

    override fun read(dst: ByteBuffer): Int = super.read(dst).also { onRead(it.toLong()) }

    override fun read(
        dsts: Array<out ByteBuffer>,
        offs: Int,
        len: Int,
    ): Long = super.read(dsts, offs, len).also(::onRead)

    override fun transferTo(
        position: Long,
        count: Long,
        target: FileChannel,
    ): Long = super.transferTo(position, count, target).also(::onRead)

    override fun transferTo(
        count: Long,
        throughBuffer: ByteBuffer,
        target: StreamSinkChannel,
    ): Long = super.transferTo(count, throughBuffer, target).also(::onRead)

    private fun onRead(count: Long) {
        if (count <= 0) return
        allowedBytes -= count
        if (allowedBytes >= 0) return
        val part = if (isInBody) "framing of its body" else "head"
        throw IOException("the $part is longer than $MAX_HEAD_BYTES bytes")
    }

    companion object {
        /** Many times the size of any usual head. */
        const val MAX_HEAD_BYTES = 64L * 1024

        /** A chunk of a single byte has six bytes of framing. */
        private const val FRAMING_BYTES_PER_BYTE = 7L
    }
}

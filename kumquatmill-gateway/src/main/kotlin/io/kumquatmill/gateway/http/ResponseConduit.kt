package io.kumquatmill.gateway.http

import org.xnio.IoUtils
import org.xnio.channels.StreamSinkChannel
import org.xnio.conduits.AbstractStreamSourceConduit
import org.xnio.conduits.ConduitReadableByteChannel
import org.xnio.conduits.StreamSourceConduit
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel

/**
 * Reads responses for Undertow's client, and refuses what the client would accept: bytes that are not one response, and more bytes than a
 * host can keep which are not part of a body, such as heads, interim responses, chunk sizes and trailers.
 *
 * The client joins lines that are no headers with those around them, keeps a header line in memory until it ends and headers until the
 * response is complete, and reads on as long as bytes arrive. A read that breaks the framing, or goes beyond the limit or the memory that
 * the host has for incomplete responses, throws an [IOException], on which the client closes the connection.
 */
internal class ResponseConduit(
    next: StreamSourceConduit,
) : AbstractStreamSourceConduit<StreamSourceConduit>(next) {
    private var buffer: ResponseBuffers.ResponseBuffer? = null
    private var allowedBytes = MAX_HEAD_BYTES
    private var isInBody = false
    private var headMemoryBytes = 0L
    private var memoryBytes = 0L

    private var framing = ResponseFraming()

    /** Whether a read was refused, so that this host, not the server, has closed the connection. */
    var isRefused = false
        private set

    /** Whether a read was refused because the bytes are not one response. */
    var isMalformed = false
        private set

    /** Whether bytes followed the end of the response, which must not be read as the start of the next one. */
    val hasExtraBytes: Boolean
        get() = framing.hasExtraBytes

    /** Starts the next response, which is to a HEAD request if [isHeadRequest] and the memory of which counts for [buffer]. */
    fun onRequest(
        buffer: ResponseBuffers.ResponseBuffer,
        isHeadRequest: Boolean,
    ) {
        this.buffer = buffer
        framing = ResponseFraming(isHeadRequest)
        allowedBytes = MAX_HEAD_BYTES
        isInBody = false
        headMemoryBytes = 0
        memoryBytes = 0
    }

    /** Starts the limit for what surrounds the parts of a body. */
    fun onHead() {
        allowedBytes = MAX_HEAD_BYTES
        isInBody = true
        headMemoryBytes = memoryBytes
    }

    /** Allows more framing, because bytes of a body were read. */
    fun onBodyBytes() {
        allowedBytes = MAX_HEAD_BYTES
        memoryBytes = headMemoryBytes
        buffer?.holdFraming(memoryBytes)
    }

    /** Forgets the call that has ended. */
    fun onCallEnd() {
        buffer = null
    }

    override fun read(dst: ByteBuffer): Int {
        if (buffer?.isReadingPaused == true) return 0
        val start = dst.position()
        val count = super.read(dst)
        if (count > 0) {
            onRead(count.toLong(), if (mayHoldLines) lineCount(dst, start, count) else 0)
            framing.accept(dst, start, count)?.let(::refuseMalformed)
        }
        return count
    }

    override fun read(
        dsts: Array<out ByteBuffer>,
        offs: Int,
        len: Int,
    ): Long =
        dsts
            .drop(offs)
            .take(len)
            .firstOrNull { it.hasRemaining() }
            ?.let { read(it).toLong() } ?: 0

    override fun transferTo(
        position: Long,
        count: Long,
        target: FileChannel,
    ): Long = target.transferFrom(ConduitReadableByteChannel(this), position, count)

    override fun transferTo(
        count: Long,
        throughBuffer: ByteBuffer,
        target: StreamSinkChannel,
    ): Long = IoUtils.transfer(ConduitReadableByteChannel(this), count, throughBuffer, target)

    private fun onRead(
        count: Long,
        lines: Int,
    ) {
        allowedBytes -= count
        val part = if (isInBody) "framing of its body" else "head"
        if (allowedBytes < 0) refuse("the $part is longer than $MAX_HEAD_BYTES bytes")
        memoryBytes += count * MEMORY_PER_BYTE + lines * MEMORY_PER_LINE_BYTES
        buffer?.holdFraming(memoryBytes)?.let(::refuse)
    }

    private fun refuseMalformed(detail: String): Nothing {
        isMalformed = true
        refuse("its bytes are not one answer: $detail")
    }

    private fun refuse(detail: String): Nothing {
        isRefused = true
        throw IOException(detail)
    }

    /** Whether what is read next may be kept as header lines: in a head, or after a read in a body that brought no bytes of it. */
    private val mayHoldLines: Boolean
        get() = !isInBody || memoryBytes > headMemoryBytes

    private fun lineCount(
        read: ByteBuffer,
        start: Int,
        count: Int,
    ): Int = (start until start + count).count { read[it] == LINE_FEED }

    companion object {
        /** Many times the size of any usual head. */
        const val MAX_HEAD_BYTES = 64L * 1024

        /** A line is kept in a string builder, which doubles when it is full. */
        private const val MEMORY_PER_BYTE = 2

        /** Objects that Undertow keeps for a header. */
        private const val MEMORY_PER_LINE_BYTES = 200
        private const val LINE_FEED = '\n'.code.toByte()
    }
}

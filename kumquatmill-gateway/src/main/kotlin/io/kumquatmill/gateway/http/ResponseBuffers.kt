package io.kumquatmill.gateway.http

import kotlin.math.max

/**
 * Memory in which all calls of a host hold responses until these are complete: bodies, heads and trailers as far as they were read.
 *
 * When it is used up, the response that has been incomplete for the longest time gives way, so that usual responses, which are complete
 * within milliseconds, arrive even while many servers send without end.
 *
 * @param maxResponseBytes maximum size of the body of one response
 * Undertow's selector refers to a closed connection, and so to the head that was read on it, until it selects again. When many responses
 * are read between two selections, those that gave way take memory all the same; reading then waits for the next selection.
 *
 * @param maxTotalBytes maximum size of all incomplete responses together
 * @param beforeSelection runs a task before the event loop selects again
 */
class ResponseBuffers(
    val maxResponseBytes: Int = MAX_RESPONSE_BYTES,
    private val maxTotalBytes: Long = (Runtime.getRuntime().maxMemory() * HEAP_FRACTION).toLong(),
    private val beforeSelection: (task: () -> Unit) -> Unit = { it() },
) {
    /** Buffers that hold bytes, the one that has done so for the longest time first. */
    private val holders = LinkedHashSet<ResponseBuffer>()

    /** Number of bytes that incomplete responses hold. */
    internal var heldBytes = 0L
        private set

    /** Number of bytes of closed connections to which the selector still refers. */
    private var closingBytes = 0L

    /** Whether reading must wait until the event loop has selected again. */
    internal val isReadingPaused: Boolean
        get() = closingBytes > maxTotalBytes * CLOSING_FRACTION

    private fun onClosing(bytes: Long) {
        if (bytes == 0L) return
        closingBytes += bytes
        if (closingBytes == bytes) beforeSelection { closingBytes = 0 }
    }

    /** Opens the buffer of one response; [onEvicted] is called with the cause if it has to give way to other responses. */
    internal fun open(onEvicted: (detail: String) -> Unit) = ResponseBuffer(onEvicted)

    private fun evictUntilRoomFor(
        bytes: Long,
        applicant: ResponseBuffer,
    ): Boolean {
        while (heldBytes + bytes > maxTotalBytes) {
            val longestHolding = holders.firstOrNull() ?: return false
            if (longestHolding === applicant) return false
            longestHolding.evict()
        }
        return true
    }

    /** What is held of one response. */
    internal inner class ResponseBuffer(
        private val onEvicted: (detail: String) -> Unit,
    ) {
        private val parts = ArrayList<ByteArray>()
        private var framingBytes = 0L

        /** Whether the memory was released, by the end of the call or because the response gave way to others. */
        var isReleased = false
            private set

        /** Number of bytes of the body that were added. */
        var size: Int = 0
            private set

        /** Whether a part was refused because the response is too long. */
        var isTooLong: Boolean = false
            private set

        /** Whether no response may be read before the event loop has selected again. */
        val isReadingPaused: Boolean
            get() = this@ResponseBuffers.isReadingPaused

        /** Adds [part] to the body, or returns why there is no room for it. */
        fun add(part: ByteArray): String? {
            isTooLong = size + part.size > maxResponseBytes
            if (isTooLong) return "the answer is longer than $maxResponseBytes bytes"
            hold(part.size.toLong())?.let { return it }
            parts += part
            size += part.size
            return null
        }

        /** Sets the memory that head, chunk sizes and trailers take to [bytes], or returns why there is no room for it. */
        fun holdFraming(bytes: Long): String? {
            hold(bytes - framingBytes)?.let { return it }
            framingBytes = bytes
            return null
        }

        private fun hold(bytes: Long): String? {
            if (isReleased || !evictUntilRoomFor(max(0, bytes), this)) return noRoom()
            heldBytes += bytes
            if (bytes > 0) holders += this
            return null
        }

        /** Returns all parts as one array and releases the memory. Must not be called once it [isReleased]. */
        fun toByteArray(): ByteArray {
            check(!isReleased) { "the parts of the response are gone: end the call as incomplete" }
            val whole = ByteArray(size)
            parts.fold(0) { at, part -> part.copyInto(whole, at).let { at + part.size } }
            release()
            return whole
        }

        /** Releases the memory for other responses. */
        fun evict() {
            release()
            onEvicted(noRoom())
        }

        /** Releases the memory for other responses; no effect if it was released before. */
        fun release() {
            if (isReleased) return
            isReleased = true
            // The connection of a complete response may be closed as well.
            onClosing(framingBytes)
            holders -= this
            heldBytes -= size + framingBytes
            parts.clear()
        }

        private fun noRoom() = "no room for the rest of the answer: incomplete ones hold $heldBytes bytes"
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 4 * 1024 * 1024

        /** A complete response is copied once, and callers' requests need memory too. */
        const val HEAP_FRACTION = 0.35

        /** With [HEAP_FRACTION], responses take about half of the heap at most. */
        const val CLOSING_FRACTION = 0.5
    }
}

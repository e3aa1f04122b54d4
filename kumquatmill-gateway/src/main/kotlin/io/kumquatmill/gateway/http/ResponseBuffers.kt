package io.kumquatmill.gateway.http

/**
 * Memory in which all calls of a host hold parts of responses until these are complete.
 *
 * Each response may hold [FREE_BYTES_PER_RESPONSE], so that usual responses are complete even while others use up the rest.
 *
 * @param maxResponseBytes maximum size of one response
 * @param maxTotalBytes maximum size of all responses together, without what is free for each
 */
class ResponseBuffers(
    val maxResponseBytes: Int = MAX_RESPONSE_BYTES,
    private val maxTotalBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_PARTS,
) {
    private var reservedBytes = 0L

    /** Opens the buffer of one response. */
    internal fun open() = ResponseBuffer()

    /** Parts of one response body. */
    internal inner class ResponseBuffer {
        private val parts = ArrayList<ByteArray>()
        private var reservedHere = 0L

        /** Number of bytes that were added. */
        var size: Int = 0
            private set

        /** Whether a part was refused because the response is too long. */
        var isTooLong: Boolean = false
            private set

        /** Adds [part], or returns why there is no room for it. */
        fun add(part: ByteArray): String? {
            isTooLong = size + part.size > maxResponseBytes
            if (isTooLong) return "the answer is longer than $maxResponseBytes bytes"
            val neededBytes = (size + part.size - FREE_BYTES_PER_RESPONSE).coerceAtLeast(0L) - reservedHere
            if (neededBytes > 0 &&
                reservedBytes + neededBytes > maxTotalBytes
            ) {
                return "incomplete answers already hold $reservedBytes bytes"
            }
            reservedBytes += neededBytes.coerceAtLeast(0)
            reservedHere += neededBytes.coerceAtLeast(0)
            parts += part
            size += part.size
            return null
        }

        /** Returns all parts as one array and releases the memory. */
        fun toByteArray(): ByteArray {
            val whole = ByteArray(size)
            parts.fold(0) { at, part -> part.copyInto(whole, at).let { at + part.size } }
            release()
            return whole
        }

        /** Releases the memory; no effect if it was released before. */
        fun release() {
            reservedBytes -= reservedHere
            reservedHere = 0
            parts.clear()
            size = 0
        }
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 4 * 1024 * 1024
        const val FREE_BYTES_PER_RESPONSE = 32L * 1024

        /** A complete response is copied once, and callers' requests need memory too. */
        const val HEAP_PARTS = 5
    }
}

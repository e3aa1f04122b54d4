package io.kumquatmill.gateway.caller

import kotlin.math.max
import kotlin.math.min

/**
 * Decides how much may be read ahead of the request in progress on a connection, and which connections go on when others release room.
 * Does no I/O; must be used by one thread only.
 *
 * @param maxRequests maximum number of requests ahead on one connection
 * @param maxHeadBytes maximum number of bytes of heads that are read ahead on one connection
 * @param maxHeldBytes maximum number of bytes of responses that wait for their turn on one connection
 * @param maxHostBytes maximum number of bytes of heads and responses on all connections together
 */
internal class ReadAheadLimit(
    private val maxRequests: Int = MAX_REQUESTS,
    private val maxHeadBytes: Int = MAX_HEAD_BYTES,
    private val maxHeldBytes: Int = MAX_HELD_BYTES,
    private val maxHostBytes: Long = (Runtime.getRuntime().maxMemory() * HEAP_FRACTION).toLong(),
) {
    private val waiting = LinkedHashMap<() -> Unit, Long>()

    /** Number of bytes of heads and responses that all connections hold. */
    var hostBytes = 0L
        private set

    /**
     * Returns whether another request may be started on a connection that has [requests] ahead, of which [unanswered] have no response
     * yet, and holds [heldBytes] of responses. Responses to come are assumed to be as large as [largestBytes], the largest one so far.
     */
    fun mayStart(
        requests: Int,
        unanswered: Int,
        heldBytes: Int,
        largestBytes: Int,
    ): Boolean {
        val expectedBytes = expectedBytes(unanswered, largestBytes)
        val fits = heldBytes + expectedBytes <= maxHeldBytes && hostBytes + expectedBytes <= maxHostBytes
        return requests < maxRequests && fits && hostBytes < maxHostBytes
    }

    /**
     * Returns how many bytes may be read on a connection that has [bufferedBytes] already.
     *
     * A first read is always possible, because it is also what detects that the caller disconnects.
     */
    fun readableBytes(bufferedBytes: Int): Int {
        val hostRoom = min(max(0, maxHostBytes - hostBytes), maxHeadBytes.toLong()).toInt()
        val room = min(maxHeadBytes - bufferedBytes, hostRoom)
        return if (bufferedBytes == 0) max(room, min(FIRST_READ_BYTES, maxHeadBytes)) else max(0, room)
    }

    /**
     * Calls [onRoom] once, as soon as the host has room for [bytes], unless [stopWaiting] is called before. Has no effect if there is room
     * now. Those that have waited longest are called first, and no more of them than there is room for.
     */
    fun awaitRoom(
        bytes: Long,
        onRoom: () -> Unit,
    ) {
        if (hostBytes + bytes > maxHostBytes) waiting[onRoom] = bytes
    }

    /** As [awaitRoom] for a connection on which nothing can be read. */
    fun awaitReadable(onRoom: () -> Unit) = awaitRoom(FIRST_READ_BYTES.toLong(), onRoom)

    /** As [awaitRoom] for a connection on which no request can be started; the parameters are those of [mayStart]. */
    fun awaitStart(
        unanswered: Int,
        largestBytes: Int,
        onRoom: () -> Unit,
    ) = awaitRoom(max(1, expectedBytes(unanswered, largestBytes)), onRoom)

    /** Removes [onRoom], which is not called any more. */
    fun stopWaiting(onRoom: () -> Unit) {
        waiting.remove(onRoom)
    }

    /** Calls those that wait and now have room; also called several times a second, since some that were called may need none. */
    fun notifyWaiting() {
        if (waiting.isEmpty()) return
        var roomBytes = maxHostBytes - hostBytes
        val ready = waiting.entries.filter { (_, bytes) -> (bytes <= roomBytes).also { if (it) roomBytes -= bytes } }.map { it.key }
        ready.forEach { waiting.remove(it) }
        ready.forEach { it() }
    }

    /** Counts [bytes] of heads that were read. */
    fun holdHeads(bytes: Int) {
        hostBytes += bytes
    }

    /** Counts [bytes] of a response on a connection that holds [heldBytes] of others; returns false if there is no room for it. */
    fun tryHoldResponse(
        heldBytes: Int,
        bytes: Int,
    ): Boolean {
        val hasRoom = heldBytes.toLong() + bytes <= maxHeldBytes && hostBytes + bytes <= maxHostBytes
        if (hasRoom) hostBytes += bytes
        return hasRoom
    }

    /** Ends the counting of [bytes] that are not held any more. */
    fun release(bytes: Int) {
        hostBytes -= bytes
        notifyWaiting()
    }

    private fun expectedBytes(
        unanswered: Int,
        largestBytes: Int,
    ) = (unanswered + 1L) * largestBytes

    private companion object {
        const val MAX_REQUESTS = 4
        const val MAX_HEAD_BYTES = 16 * 1024
        const val MAX_HELD_BYTES = 1024 * 1024
        const val FIRST_READ_BYTES = 512

        /** Incomplete responses may take 0.35 of the heap (`ResponseBuffers`), request bodies and the state of the fleet need the rest. */
        const val HEAP_FRACTION = 0.1
    }
}

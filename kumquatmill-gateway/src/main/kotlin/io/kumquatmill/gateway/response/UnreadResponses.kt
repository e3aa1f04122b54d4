package io.kumquatmill.gateway.response

/**
 * Responses that callers have not read completely, and the decision which callers read too slowly to be kept.
 *
 * The body of a response stays in memory until its last byte is written. When all bodies together exceed [maxBytes], the caller that has
 * read nothing for the longest time gives way; of several, the one that has read least. Does no I/O; must be used by one thread only.
 *
 * @param K identifies a response
 */
internal class UnreadResponses<K : Any>(
    private val maxBytes: Long = (Runtime.getRuntime().maxMemory() * HEAP_FRACTION).toLong(),
) {
    private class Unread(
        val bytes: Long,
        var readBytes: Long,
        var readAtMs: Long,
    )

    private val responses = LinkedHashMap<K, Unread>()

    /** Number of bytes of the bodies of all responses that are not read completely. */
    var totalBytes = 0L
        private set

    /** Number of responses that are not read completely. */
    val count: Int
        get() = responses.size

    /** Whether the callers that read slowest must give way. */
    val isExceeded: Boolean
        get() = totalBytes > maxBytes

    /** Adds [response] with a body of [bytes], of which its caller has read [readBytes]. */
    fun add(
        nowMs: Long,
        response: K,
        bytes: Long,
        readBytes: Long,
    ) {
        remove(response)
        responses[response] = Unread(bytes, readBytes, nowMs)
        totalBytes += bytes
    }

    /** Removes [response], which is complete or whose connection is closed; no effect if it is unknown. */
    fun remove(response: K) {
        responses.remove(response)?.let { totalBytes -= it.bytes }
    }

    /** Notes how much callers have read by now; [readBytesOf] returns the number of bytes that were written of a response. */
    fun observe(
        nowMs: Long,
        readBytesOf: (K) -> Long,
    ) = responses.forEach { (response, unread) ->
        val readBytes = readBytesOf(response)
        if (readBytes > unread.readBytes) {
            unread.readBytes = readBytes
            unread.readAtMs = nowMs
        }
    }

    /** Removes and returns the responses whose connections must be closed so that the others fit. */
    fun takeExcess(): List<K> {
        val excess = ArrayList<K>()
        while (isExceeded) {
            val slowest = responses.entries.minWithOrNull(slowestFirst)?.key ?: break
            remove(slowest)
            excess += slowest
        }
        return excess
    }

    private companion object {
        /** Besides, incomplete responses may take 0.35 of the heap and responses that wait for their turn 0.1. */
        const val HEAP_FRACTION = 0.2
        val slowestFirst = compareBy<Map.Entry<*, Unread>>({ it.value.readAtMs }, { it.value.readBytes })
    }
}

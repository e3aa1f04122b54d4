package io.kumquatmill.gateway.closing

/**
 * Connections whose last response is written, and the decision which of them are closed before their peers do so.
 *
 * Does no I/O; must be used by one thread at a time.
 *
 * @param C identifies a connection
 * @param maxConnections maximum number of connections; the one that has lingered longest gives way
 * @param maxBytes maximum number of bytes that are dropped on one connection
 */
internal class LingeringConnections<C : Any>(
    private val maxConnections: Int,
    private val maxBytes: Long = MAX_BYTES,
) {
    private val droppedBytes = LinkedHashMap<C, Long>()

    /** Number of connections that linger. */
    val count: Int
        get() = droppedBytes.size

    /** Adds [connection], and returns those that must be closed now. */
    fun add(connection: C): List<C> {
        droppedBytes[connection] = 0
        return takeOldest(count - maxConnections)
    }

    /** Removes and returns the [number] connections that have lingered longest; none if it is not positive. */
    fun takeOldest(number: Int): List<C> = droppedBytes.keys.take(number.coerceAtLeast(0)).onEach { droppedBytes.remove(it) }

    /** Counts [bytes] that were dropped on [connection]; returns whether it may go on lingering. */
    fun drop(
        connection: C,
        bytes: Int,
    ): Boolean {
        val total = (droppedBytes[connection] ?: return false) + bytes
        droppedBytes[connection] = total
        return total <= maxBytes
    }

    /** Removes [connection]; returns whether it was lingering. */
    fun remove(connection: C): Boolean = droppedBytes.remove(connection) != null

    private companion object {
        /** As much as callers may upload on any known deployment, so that one that still sends gets its refusal. */
        const val MAX_BYTES = 64L * 1024 * 1024
    }
}

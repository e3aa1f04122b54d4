package io.kumquatmill.gateway.caller

/**
 * Open connections of callers, and the decision which idle ones are closed so that at most [maxOpen] stay open.
 *
 * Without a limit, rejected callers that retry on new connections and leave the old ones idle exhaust the host's file descriptors.
 * The host then accepts no connections and leaves requests unread. The connection that has been idle longest is closed first; a
 * connection with an active request is never closed. Between two requests that a caller sent together, the connection has none for one
 * turn of the event loop: it is not closed if the second one was sent to a worker ahead of its turn. Does no I/O; must be used by one
 * thread only.
 *
 * @param C identifies a connection
 * @param hasRequestsAhead returns whether a connection has requests that were read ahead and are not answered
 */
internal class OpenConnections<C : Any>(
    private val maxOpen: Int,
    private val hasRequestsAhead: (C) -> Boolean,
) {
    private val activeRequests = HashMap<C, Int>()
    private val idle = LinkedHashSet<C>()

    /** Number of open connections that have carried at least one request. */
    val openCount: Int
        get() = activeRequests.size + idle.size

    /** Marks [connection] as active until its request is completed; returns whether this is its first request. */
    fun onRequest(connection: C): Boolean {
        val isTracked = idle.remove(connection) || connection in activeRequests
        activeRequests.merge(connection, 1, Int::plus)
        return !isTracked
    }

    /** Ends a request of [connection], which is idle if it has no other one and [isOpen]. */
    fun onRequestCompleted(
        connection: C,
        isOpen: Boolean,
    ) {
        val requests = activeRequests[connection] ?: return
        if (requests > 1) {
            activeRequests[connection] = requests - 1
        } else {
            activeRequests.remove(connection)
            if (isOpen) idle.add(connection)
        }
    }

    /** Removes [connection], which was closed. */
    fun onClosed(connection: C) {
        activeRequests.remove(connection)
        idle.remove(connection)
    }

    /** Removes and returns the idle connections that must be closed so that at most [maxOpen] stay open. */
    fun takeExcess(): List<C> {
        val excessCount = (openCount - maxOpen).coerceAtLeast(0)
        return idle.filterNot(hasRequestsAhead).take(excessCount).onEach { idle.remove(it) }
    }
}

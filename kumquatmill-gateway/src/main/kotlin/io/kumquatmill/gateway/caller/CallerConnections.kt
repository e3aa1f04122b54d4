package io.kumquatmill.gateway.caller

import io.undertow.server.HttpServerExchange
import io.undertow.server.ServerConnection
import org.xnio.IoUtils

/**
 * Tracks the connections of callers and closes idle ones so that at most [maxOpen] stay open.
 *
 * Without a limit, rejected callers that retry on new connections and leave the old ones idle exhaust the host's file descriptors.
 * The host then accepts no connections and leaves requests unread. The connection that has been idle longest is closed first; a
 * connection with an active request is never closed. Not thread-safe: must be used on the event loop only.
 *
 * @param onIdleClosed called with the number of idle connections that were closed
 */
internal class CallerConnections(
    private val maxOpen: Int,
    private val onIdleClosed: (closed: Int) -> Unit,
) {
    private val activeRequests = HashMap<ServerConnection, Int>()
    private val idle = LinkedHashSet<ServerConnection>()

    /** Number of open connections that have carried at least one request. */
    val openCount: Int
        get() = activeRequests.size + idle.size

    /** Marks the connection of [exchange] as active until its response is sent. */
    fun onRequest(exchange: HttpServerExchange) {
        val connection = exchange.connection
        val isTracked = idle.remove(connection) || connection in activeRequests
        activeRequests.merge(connection, 1, Int::plus)
        if (!isTracked) {
            connection.addCloseListener {
                activeRequests.remove(connection)
                idle.remove(connection)
            }
            closeExcessIdle()
        }
        exchange.addExchangeCompleteListener { _, next ->
            onRequestCompleted(connection)
            next.proceed()
        }
    }

    private fun onRequestCompleted(connection: ServerConnection) {
        val requests = activeRequests[connection] ?: return
        if (requests > 1) {
            activeRequests[connection] = requests - 1
        } else {
            activeRequests.remove(connection)
            if (connection.isOpen) idle.add(connection)
        }
    }

    private fun closeExcessIdle() {
        val excess = idle.take((openCount - maxOpen).coerceAtLeast(0))
        excess.forEach {
            idle.remove(it)
            IoUtils.safeClose(it)
        }
        if (excess.isNotEmpty()) onIdleClosed(excess.size)
    }
}

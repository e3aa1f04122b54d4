package io.kumquatmill.gateway.caller

import io.kumquatmill.gateway.closing.LingeringClose
import io.undertow.server.HttpServerExchange
import io.undertow.server.ServerConnection

/**
 * Closes idle connections of callers as [OpenConnections] decides. They linger within what open connections leave of [maxOpen], and in an
 * eighth of it besides. Must be used on the event loop only.
 *
 * @param hasRequestsAhead returns whether a connection has requests that were read ahead and are not answered
 * @param onIdleClosed called with the number of idle connections that were closed
 */
internal class CallerConnections(
    private val maxOpen: Int,
    hasRequestsAhead: (ServerConnection) -> Boolean,
    private val lingeringClose: LingeringClose,
    private val onIdleClosed: (closed: Int) -> Unit,
) {
    private val connections = OpenConnections(maxOpen, hasRequestsAhead)

    /** Marks the connection of [exchange] as active until its response is sent. */
    fun onRequest(exchange: HttpServerExchange) {
        val connection = exchange.connection
        if (connections.onRequest(connection)) {
            connection.addCloseListener { connections.onClosed(connection) }
            closeExcessIdle()
        }
        exchange.addExchangeCompleteListener { ended, next ->
            connections.onRequestCompleted(connection, isOpen = connection.isOpen && ended.isPersistent)
            next.proceed()
        }
    }

    private fun closeExcessIdle() {
        lingeringClose.closeOldest(connections.openCount + lingeringClose.count - maxOpen - maxOpen / LINGERING_PART)
        val excess = connections.takeExcess()
        excess.forEach(lingeringClose::close)
        if (excess.isNotEmpty()) onIdleClosed(excess.size)
    }

    private companion object {
        const val LINGERING_PART = 8
    }
}

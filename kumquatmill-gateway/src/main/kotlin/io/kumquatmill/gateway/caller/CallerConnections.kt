package io.kumquatmill.gateway.caller

import io.undertow.server.HttpServerExchange
import io.undertow.server.ServerConnection
import org.xnio.IoUtils

/**
 * Closes idle connections of callers as [OpenConnections] decides. Must be used on the event loop only.
 *
 * @param hasRequestsAhead returns whether a connection has requests that were read ahead and are not answered
 * @param onIdleClosed called with the number of idle connections that were closed
 */
internal class CallerConnections(
    maxOpen: Int,
    hasRequestsAhead: (ServerConnection) -> Boolean,
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
        exchange.addExchangeCompleteListener { _, next ->
            connections.onRequestCompleted(connection, connection.isOpen)
            next.proceed()
        }
    }

    private fun closeExcessIdle() {
        val excess = connections.takeExcess()
        excess.forEach { IoUtils.safeClose(it) }
        if (excess.isNotEmpty()) onIdleClosed(excess.size)
    }
}

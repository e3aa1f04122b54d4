package io.kumquatmill.standins.worker

import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpServerExchange
import java.io.IOException
import java.nio.ByteBuffer

/**
 * Returns whether the client has closed its connection.
 *
 * To be called once the request is read; it expects clients that don't send the next request before the answer.
 */
internal fun HttpServerExchange.isClosedByClient(): Boolean {
    val serverConnection = connection as? AbstractServerConnection ?: return false
    return try {
        serverConnection.originalSourceConduit.read(ByteBuffer.allocate(1)) < 0
    } catch (_: IOException) {
        true
    }
}

package io.kumquatmill.standins.worker

import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpServerExchange
import java.io.IOException
import java.nio.ByteBuffer

/**
 * Returns whether the client has closed its connection.
 *
 * Call this only after the request has been read. It consumes a byte if one is available, so it does not support clients that
 * pipeline requests.
 */
internal fun HttpServerExchange.isClosedByClient(): Boolean {
    val serverConnection = connection as? AbstractServerConnection ?: return false
    return try {
        serverConnection.originalSourceConduit.read(ByteBuffer.allocate(1)) < 0
    } catch (_: IOException) {
        true
    }
}

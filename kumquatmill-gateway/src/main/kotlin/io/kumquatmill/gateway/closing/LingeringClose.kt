package io.kumquatmill.gateway.closing

import io.kumquatmill.gateway.http.TransferBuffer
import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpHandler
import io.undertow.server.ServerConnection
import org.xnio.IoUtils
import org.xnio.XnioExecutor
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Why a lingering connection was closed. */
enum class LingeringEnd(
    val wireName: String,
) {
    /** Its peer has closed it, or it broke. */
    PEER("peer"),

    /** Its peer did not close it in time. */
    TIME("time"),

    /** Its peer sent too much. */
    BYTES("bytes"),

    /** Too many connections lingered. */
    ROOM("room"),
}

/**
 * Closes connections behind their last response without cutting it.
 *
 * The operating system resets a connection that is closed with unread bytes, or on which bytes arrive after its close; what its peer has
 * not read by then is lost. So the sending side is ended first, what still arrives is read and dropped, and the connection is closed when
 * its peer has closed it. What is dropped was sent behind a response that closes the connection: it counts as not read, and never runs.
 *
 * May be used by any thread; each connection is read and closed on its own event loop.
 *
 * @param maxConnections maximum number of connections that wait for their peers
 * @param onEnded called for each connection that has waited, on its event loop
 */
class LingeringClose(
    maxConnections: Int,
    private val onEnded: (LingeringEnd) -> Unit,
) {
    private val connections = LingeringConnections<ServerConnection>(maxConnections)

    /** Number of connections that wait for their peers to close them. */
    val count: Int
        get() = synchronized(connections) { connections.count }

    /** Returns [handler] with each connection closed in this way behind its last response. */
    fun around(handler: HttpHandler) =
        HttpHandler { exchange ->
            // Listeners run in the reverse order; this one, which the server's own close follows, must be the last.
            exchange.addExchangeCompleteListener { ended, next ->
                val isLast = !ended.isPersistent && !ended.isUpgrade && ended.connection.isOpen
                if (isLast) close(ended.connection) else next.proceed()
            }
            handler.handleRequest(exchange)
        }

    /** Ends the sending side of [connection], which has no request in progress, and closes it when its peer has, or at a limit. */
    fun close(connection: ServerConnection) {
        if (connection !is AbstractServerConnection) return IoUtils.safeClose(connection)
        val start = Lingering(connection)::start
        if (Thread.currentThread() === connection.ioThread) start() else connection.ioThread.execute(start)
    }

    /** Closes the [number] connections that have waited longest, to make room for others; none if it is not positive. */
    fun closeOldest(number: Int) = closeForRoom(synchronized(connections) { connections.takeOldest(number) })

    private fun closeForRoom(excess: List<ServerConnection>) =
        excess.forEach {
            it.ioThread.execute {
                IoUtils.safeClose(it)
                onEnded(LingeringEnd.ROOM)
            }
        }

    private inner class Lingering(
        private val connection: AbstractServerConnection,
    ) {
        private val source = connection.originalSourceConduit
        private var timer: XnioExecutor.Key? = null

        fun start() {
            connection.extraBytes?.close()
            connection.extraBytes = null
            closeForRoom(synchronized(connections) { connections.add(connection) })
            connection.addCloseListener { end(LingeringEnd.PEER) }
            connection.channel.sourceChannel.setReadListener { drop() }
            try {
                connection.originalSinkConduit.terminateWrites()
                connection.originalSinkConduit.flush()
            } catch (_: IOException) {
                return end(LingeringEnd.PEER)
            }
            drop()
            if (!connection.isOpen) return
            source.resumeReads()
            timer = connection.ioThread.executeAfter({ end(LingeringEnd.TIME) }, MAX_DURATION_MS, TimeUnit.MILLISECONDS)
        }

        /** Reads once for each time that the connection is readable, so that a fast sender leaves the event loop to others. */
        private fun drop() {
            val count =
                try {
                    TransferBuffer.drop(source)
                } catch (_: IOException) {
                    END_OF_STREAM
                }
            if (count < 0) return end(LingeringEnd.PEER)
            if (!synchronized(connections) { connections.drop(connection, count) }) end(LingeringEnd.BYTES)
        }

        private fun end(reason: LingeringEnd) {
            timer?.remove()
            val wasLingering = synchronized(connections) { connections.remove(connection) }
            IoUtils.safeClose(connection)
            if (wasLingering) onEnded(reason)
        }
    }

    private companion object {
        const val END_OF_STREAM = -1

        /** Time in which a peer with a slow link reads a response from the operating system's buffers. */
        const val MAX_DURATION_MS = 10_000L
    }
}

package io.kumquatmill.gateway.http

import io.undertow.client.ClientConnection
import org.xnio.IoUtils
import org.xnio.XnioIoThread
import java.io.IOException

/**
 * A connection that carries calls one after the other. Must be used on the event loop [loop] only.
 *
 * A connection may carry many calls, so it refers to a call only while it carries that call. Of earlier ones it knows the hashes of
 * their ids, a limited number of them.
 *
 * @param id number of the connection in this process
 */
internal class PersistentConnection(
    private val id: Long,
    private val loop: XnioIoThread,
    val connection: ClientConnection,
    val conduit: ResponseConduit,
) {
    private var onClosed: Runnable? = null
    private val carriedRequests = CarriedRequests()
    private var exchanges = 0

    init {
        // Undertow offers no way to remove a close listener, so there is one for all calls.
        connection.addCloseListener { onClosed?.let(loop::execute) }
    }

    val isOpen: Boolean
        get() = connection.isOpen

    /** Whether the connection can carry no more requests. */
    val isUsedUp: Boolean
        get() = carriedRequests.isFull

    /** Returns whether the connection has carried request [requestId], so that a copy of its response may arrive. */
    fun hasCarried(requestId: String): Boolean = requestId in carriedRequests

    /**
     * Starts the call of request [requestId], which is null if it has no id. [onClosed] is run after the last bytes of a response have been
     * read if the connection closes before [endCall].
     */
    fun startCall(
        requestId: String?,
        onClosed: () -> Unit,
    ): ConnectionUse {
        check(this.onClosed == null) { "the connection carries another call: end that one first" }
        this.onClosed = Runnable(onClosed)
        val use = ConnectionUse(id, ++exchanges, isRepeat = requestId != null && hasCarried(requestId))
        if (requestId != null && !use.isRepeat) carriedRequests.add(requestId)
        return use
    }

    /** Ends the call that the connection carries. */
    fun endCall() {
        onClosed = null
        conduit.onCallEnd()
    }

    /** Closes the connection in the usual way: Undertow may wait for the rest of a response. */
    fun close() = IoUtils.safeClose(connection)

    /** Closes the socket at once, so that a server that still executes a request notices it. */
    fun abort() =
        try {
            IoUtils.safeClose(connection.performUpgrade())
        } catch (_: IOException) {
            close() // already closed
        }
}

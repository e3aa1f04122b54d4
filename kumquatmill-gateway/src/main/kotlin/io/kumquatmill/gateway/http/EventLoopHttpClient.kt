package io.kumquatmill.gateway.http

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.traffic.crash.ProbeResult
import io.undertow.client.ClientCallback
import io.undertow.client.ClientConnection
import io.undertow.client.UndertowClient
import io.undertow.connector.ByteBufferPool
import org.xnio.IoFuture
import org.xnio.IoUtils
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.XnioIoThread
import java.io.IOException
import java.net.ConnectException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.URI
import java.util.concurrent.TimeUnit

/**
 * HTTP/1.1 client that runs on one event loop; no call blocks a thread.
 *
 * It uses Undertow's client, which sends request targets unchanged, reports when the first byte is sent, and closes an idle
 * connection on which any byte arrives. Calls are never retried here, and a connection never carries a request with an id twice: a response
 * that names a request is then no copy of an earlier response to it.
 *
 * @param onConnectionNeeded called when a call needs a new connection, with the reason
 */
class EventLoopHttpClient(
    private val loop: XnioIoThread,
    private val bufferPool: ByteBufferPool,
    private val clock: MonotonicClock,
    private val responseBuffers: ResponseBuffers = ResponseBuffers(beforeSelection = { loop.execute(it) }),
    private val onConnectionNeeded: (ConnectionNeed) -> Unit = { },
) {
    private val idleConnections = IdleConnectionPool(clock)
    private val connectThread = LimitedConnectThread(loop)
    private var connectionsOpened = 0L

    /** Starts [call] and calls [onResult] once, unless the call is cancelled. Must run on the event loop. */
    fun send(
        call: HttpCall,
        onResult: (CallResult) -> Unit,
    ): OngoingCall = ActiveCall(call, onResult).apply { start() }

    /**
     * Opens a connection to [address] and closes it without sending anything, to find out whether a process listens there. Calls [onResult]
     * once. Must run on the event loop.
     */
    fun probe(
        address: HostAddress,
        timeoutMs: Long,
        onResult: (ProbeResult) -> Unit,
    ) {
        var isFinished = false

        fun finish(result: ProbeResult) {
            if (isFinished) return
            isFinished = true
            onResult(result)
        }
        val timer = loop.executeAfter({ finish(ProbeResult.UNKNOWN) }, timeoutMs, TimeUnit.MILLISECONDS)
        val opened =
            loop.openStreamConnection(
                InetSocketAddress(InetAddress.getByName(address.ip), address.port),
                { connection -> IoUtils.safeClose(connection) },
                connectOptions,
            )
        opened.addNotifier(
            { future, _ ->
                loop.execute {
                    timer.remove()
                    finish(
                        when {
                            future.status == IoFuture.Status.DONE -> ProbeResult.ACCEPTED
                            future.status == IoFuture.Status.FAILED && future.exception.isRefused -> ProbeResult.REFUSED
                            else -> ProbeResult.UNKNOWN
                        },
                    )
                }
            },
            null,
        )
    }

    /** Returns whether an idle connection to [address] is open. Must run on the event loop. */
    fun hasIdleConnection(address: HostAddress): Boolean = idleConnections.hasOpen(address, Long.MAX_VALUE)

    /** Closes the idle connections to [address]. Must run on the event loop. */
    fun closeIdleConnections(address: HostAddress) = idleConnections.closeAll(address)

    /** Closes the connections whose idle timeout has passed. Must run on the event loop. */
    fun closeExpiredConnections() = idleConnections.closeExpired()

    private inner class ActiveCall(
        private val call: HttpCall,
        private val onResult: (CallResult) -> Unit,
    ) : OngoingCall {
        private var isFinished = false
        private var isConnected = false
        private var connection: PersistentConnection? = null
        private var use: ConnectionUse? = null
        private var transfer: CallTransfer? = null
        private val buffer = responseBuffers.open { detail -> loop.execute { fail(detail, isConnectionLost = false) } }
        private val connectTimer = loop.executeAfter({ onConnectTimeout() }, call.connectTimeoutMs, TimeUnit.MILLISECONDS)
        private val timeoutTimer = call.timeoutMs?.let { loop.executeAfter({ onTimeout(it) }, it, TimeUnit.MILLISECONDS) }

        fun start() {
            val reused = idleConnections.acquire(call.address, call.maxConnectionIdleMs, call.requestId)
            if (reused != null) return startTransfer(reused)
            val isRepeat = idleConnections.hasOpen(call.address, call.maxConnectionIdleMs)
            onConnectionNeeded(if (isRepeat) ConnectionNeed.REPEAT else ConnectionNeed.NONE_IDLE)
            idleConnections.closeExcess(call.address, call.maxIdleConnections)
            connect()
        }

        override fun cancel() {
            if (isFinished) return
            markFinished()
            connection?.abort()
        }

        private fun connect() {
            val onConnected =
                object : ClientCallback<ClientConnection> {
                    override fun completed(result: ClientConnection) {
                        if (isFinished) return IoUtils.safeClose(result)
                        val conduit =
                            checkNotNull(connectThread.lastConduit) { "connection to ${call.address} was opened without its conduit" }
                        startTransfer(PersistentConnection(++connectionsOpened, loop, result, conduit))
                    }

                    override fun failed(e: IOException) = complete(CallResult.NotSent("no connection: ${e.message}", e.isRefused))
                }
            val uri = URI("http", null, call.address.ip, call.address.port, null, null, null)
            UndertowClient.getInstance().connect(onConnected, uri, connectThread, bufferPool, connectOptions)
        }

        private fun startTransfer(connection: PersistentConnection) {
            connectTimer.remove()
            this.connection = connection
            isConnected = true
            val use = connection.startCall(call.requestId) { onTransferFailed("the connection was closed") }
            this.use = use
            transfer = CallTransfer(call, connection, buffer, use, ::onResponse, ::onTransferFailed).apply { start() }
        }

        private fun onResponse(
            response: CallResult.Response,
            idleTimeoutMs: Long,
        ) {
            if (isFinished) return
            markFinished()
            val keepMs = if (call.mayKeepConnection()) idleTimeoutMs else 0
            connection?.let { if (call.isOwnResponse(response)) idleConnections.release(call.address, it, keepMs) else it.abort() }
            onResult(response)
        }

        private fun onTransferFailed(detail: String) =
            fail(detail, isConnectionLost = transfer?.isHeadRead != true && connection?.conduit?.isRefused != true)

        private fun fail(
            detail: String,
            isConnectionLost: Boolean,
        ) {
            if (isFinished) return
            markFinished()
            connection?.abort()
            idleConnections.closeAll(call.address)
            onResult(CallResult.Incomplete(detail, isConnectionLost, buffer.isTooLong, connection?.conduit?.isMalformed == true, use))
        }

        private fun onConnectTimeout() {
            if (!isConnected) complete(CallResult.NotSent("no connection within ${call.connectTimeoutMs} ms"))
        }

        private fun onTimeout(timeoutMs: Long) {
            if (isConnected) {
                fail("no answer within $timeoutMs ms", isConnectionLost = false)
            } else {
                complete(CallResult.NotSent("no connection within $timeoutMs ms"))
            }
        }

        private fun complete(result: CallResult) {
            if (isFinished) return
            markFinished()
            onResult(result)
        }

        private fun markFinished() {
            isFinished = true
            connection?.endCall()
            buffer.release()
            connectTimer.remove()
            timeoutTimer?.remove()
        }
    }

    private companion object {
        val connectOptions: OptionMap = OptionMap.create(Options.TCP_NODELAY, true)

        /** Whether the address refused the connection; the same exception is thrown when the kernel gives up connecting. */
        val IOException.isRefused: Boolean
            get() = this is ConnectException && message.orEmpty().contains("refused", ignoreCase = true)
    }
}

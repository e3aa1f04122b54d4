package io.kumquatmill.gateway.http

import io.kumquatmill.common.time.MonotonicClock
import io.undertow.client.ClientCallback
import io.undertow.client.ClientConnection
import io.undertow.client.UndertowClient
import io.undertow.connector.ByteBufferPool
import org.xnio.IoUtils
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.XnioIoThread
import java.io.IOException
import java.net.URI
import java.util.concurrent.TimeUnit

/**
 * HTTP/1.1 client on one event loop; no call takes a thread.
 *
 * It is Undertow's client, since that one sends targets as they are, tells when the first byte goes out, and closes an idle
 * connection on which anything arrives. No call is ever repeated here.
 */
class EventLoopHttpClient(
    private val loop: XnioIoThread,
    private val buffers: ByteBufferPool,
    private val clock: MonotonicClock,
    private val maxAnswerBytes: Int = MAX_ANSWER_BYTES,
) {
    private val idle = IdleConnectionPool(clock)

    /** Starts [call]; [onEnd] is told once, unless the call is cancelled. Must run on the event loop. */
    fun send(
        call: HttpCall,
        onEnd: (CallResult) -> Unit,
    ): OngoingCall = Sending(call, onEnd).apply { start() }

    /** Closes connections that have been idle for too long. */
    fun sweep() = idle.sweep()

    private inner class Sending(
        private val call: HttpCall,
        private val onEnd: (CallResult) -> Unit,
    ) : OngoingCall {
        private var isDone = false
        private var isSent = false
        private var connection: ClientConnection? = null
        private val connectTimer = loop.executeAfter({ connectTimedOut() }, call.connectTimeoutMs, TimeUnit.MILLISECONDS)
        private val timer = call.timeoutMs?.let { loop.executeAfter({ timedOut(it) }, it, TimeUnit.MILLISECONDS) }

        fun start() {
            val kept = idle.take(call.address, call.maxIdleMs)
            if (kept != null) return transmit(kept)
            idle.trim(call.address, call.mostIdle)
            connect()
        }

        override fun cancel() {
            if (isDone) return
            finish()
            abort()
        }

        /**
         * Closes the socket at once. The connection's own close only ends its sending side and waits for the rest of the answer, so
         * the worker would go on with the request.
         */
        private fun abort() {
            val used = connection ?: return
            try {
                IoUtils.safeClose(used.performUpgrade())
            } catch (_: IOException) {
                IoUtils.safeClose(used) // it is closed already
            }
        }

        private fun connect() {
            val onConnected =
                object : ClientCallback<ClientConnection> {
                    override fun completed(result: ClientConnection) = if (isDone) IoUtils.safeClose(result) else transmit(result)

                    override fun failed(e: IOException) = end(CallResult.NotSent("no connection: ${e.message}"))
                }
            val uri = URI("http", null, call.address.ip, call.address.port, null, null, null)
            UndertowClient.getInstance().connect(onConnected, uri, loop, buffers, connectOptions)
        }

        private fun transmit(connection: ClientConnection) {
            connectTimer.remove()
            this.connection = connection
            isSent = true
            // A connection may close while the last bytes of its answer are being read: those come first.
            connection.addCloseListener { if (!isDone) loop.execute { broken("the connection was closed") } }
            CallTransfer(call, connection, maxAnswerBytes, ::answered, ::broken).start()
        }

        private fun answered(
            answer: CallResult.Response,
            idleMs: Long,
        ) {
            if (isDone) return
            finish()
            connection?.let { idle.keep(call.address, it, idleMs) }
            onEnd(answer)
        }

        private fun broken(detail: String) {
            if (isDone) return
            finish()
            abort()
            idle.drop(call.address)
            onEnd(CallResult.Incomplete(detail))
        }

        private fun connectTimedOut() {
            if (!isSent) end(CallResult.NotSent("no connection within ${call.connectTimeoutMs} ms"))
        }

        private fun timedOut(timeoutMs: Long) {
            if (isSent) broken("no answer within $timeoutMs ms") else end(CallResult.NotSent("no connection within $timeoutMs ms"))
        }

        private fun end(end: CallResult) {
            if (isDone) return
            finish()
            onEnd(end)
        }

        private fun finish() {
            isDone = true
            connectTimer.remove()
            timer?.remove()
        }
    }

    private companion object {
        /** Answers are held whole until they are known to be complete; larger ones end as broken. */
        const val MAX_ANSWER_BYTES = 16 * 1024 * 1024
        val connectOptions: OptionMap = OptionMap.create(Options.TCP_NODELAY, true)
    }
}

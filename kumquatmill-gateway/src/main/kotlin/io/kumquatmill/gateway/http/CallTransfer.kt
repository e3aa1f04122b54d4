package io.kumquatmill.gateway.http

import io.undertow.client.ClientCallback
import io.undertow.client.ClientExchange
import io.undertow.client.ClientRequest
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.xnio.ChannelListener
import org.xnio.channels.StreamSinkChannel
import org.xnio.channels.StreamSourceChannel
import java.io.IOException
import java.nio.ByteBuffer

/**
 * Sends [call] over [persistentConnection] and reads the complete response.
 *
 * @param buffer holds the body until it is complete
 * @param onResponse called with the response, and with the time in milliseconds for which the connection may be kept idle; if that is not
 * positive, the connection must be closed
 * @param onIncomplete called with the cause if no complete response was received
 */
internal class CallTransfer(
    private val call: HttpCall,
    persistentConnection: PersistentConnection,
    private val buffer: ResponseBuffers.ResponseBuffer,
    private val use: ConnectionUse,
    private val onResponse: (response: CallResult.Response, idleTimeoutMs: Long) -> Unit,
    private val onIncomplete: (detail: String) -> Unit,
) {
    private val connection = persistentConnection.connection
    private val conduit = persistentConnection.conduit
    private val unsentBody: ByteBuffer = ByteBuffer.wrap(call.body)
    private var isRequestSent = false

    /** Whether the head of the response has been read. */
    var isHeadRead = false
        private set

    fun start() {
        conduit.onRequest(buffer, isHeadRequest = call.method == "HEAD")
        val request = ClientRequest().setMethod(HttpString(call.method)).setPath(call.target)
        call.headers.forEach { (name, value) -> request.requestHeaders.add(HttpString(name), value) }
        if (call.body.isNotEmpty() || call.method in methodsWithBody) {
            request.requestHeaders.put(Headers.CONTENT_LENGTH, call.body.size.toLong())
        }
        connection.sendRequest(
            request,
            object : ClientCallback<ClientExchange> {
                override fun completed(result: ClientExchange) = onRequestStarted(result)

                override fun failed(e: IOException) = onIncomplete("sending failed: ${e.detail}")
            },
        )
    }

    private fun onRequestStarted(exchange: ClientExchange) {
        exchange.setResponseListener(
            object : ClientCallback<ClientExchange> {
                override fun completed(result: ClientExchange) = readResponse(result)

                override fun failed(e: IOException) = onIncomplete("no answer: ${e.detail}")
            },
        )
        try {
            writeBody(exchange.requestChannel)
        } catch (e: IOException) {
            onIncomplete("sending failed: ${e.detail}")
        }
    }

    private fun writeBody(channel: StreamSinkChannel) {
        while (unsentBody.hasRemaining()) {
            if (channel.write(unsentBody) == 0) return continueWriting(channel)
        }
        channel.shutdownWrites()
        if (channel.flush()) isRequestSent = true else continueWriting(channel)
    }

    private fun continueWriting(channel: StreamSinkChannel) {
        channel.writeSetter.set(
            ChannelListener { ready: StreamSinkChannel ->
                try {
                    ready.suspendWrites()
                    writeBody(ready)
                } catch (e: IOException) {
                    onIncomplete("sending failed: ${e.detail}")
                }
            },
        )
        channel.resumeWrites()
    }

    private fun readResponse(exchange: ClientExchange) {
        isHeadRead = true
        conduit.onHead()
        call.onHead(ResponseHead(exchange.response.responseCode, exchange.response.responseHeaders, use))
        val channel = exchange.responseChannel
        val listener =
            ChannelListener { ready: StreamSourceChannel ->
                try {
                    readBody(exchange, ready)
                } catch (e: IOException) {
                    onIncomplete("the answer was cut: ${e.detail}")
                }
            }
        channel.readSetter.set(listener)
        listener.handleEvent(channel)
    }

    private fun readBody(
        exchange: ClientExchange,
        channel: StreamSourceChannel,
    ) {
        connection.bufferPool.allocate().use { pooled ->
            val readBuffer = pooled.buffer
            while (true) {
                readBuffer.clear()
                val count = channel.read(readBuffer)
                if (count == 0) {
                    channel.resumeReads()
                    return
                }
                if (count < 0) return complete(exchange)
                readBuffer.flip()
                conduit.onBodyBytes()
                val refusal = buffer.add(ByteArray(readBuffer.remaining()).also { readBuffer.get(it) })
                if (refusal != null) return onIncomplete(refusal)
            }
        }
    }

    private fun complete(exchange: ClientExchange) {
        if (buffer.isReleased) return onIncomplete("the answer gave way to others")
        val response = exchange.response
        val expectedBytes = response.responseHeaders.getFirst(Headers.CONTENT_LENGTH)?.toLongOrNull()
        if (expectedBytes != null && expectedBytes != buffer.size.toLong()) {
            return onIncomplete("the answer was cut: ${buffer.size} of $expectedBytes bytes")
        }
        onResponse(
            CallResult.Response(response.responseCode, response.responseHeaders, buffer.toByteArray(), use.exchange > 1, use),
            idleTimeoutMs(exchange),
        )
    }

    /** Returns how long the connection may stay idle before its next request, in milliseconds; not positive if it must not be reused. */
    private fun idleTimeoutMs(exchange: ClientExchange): Long {
        val headers = exchange.response.responseHeaders
        val isClosing = headers.getFirst(Headers.CONNECTION)?.contains("close", ignoreCase = true) ?: false
        val hasDelimitedBody = headers.contains(Headers.CONTENT_LENGTH) || headers.contains(Headers.TRANSFER_ENCODING)
        val isReusable = hasDelimitedBody && isRequestSent && connection.isOpen && !conduit.hasExtraBytes
        if (isClosing || !isReusable) return 0
        val keepAliveTimeoutS =
            headers
                .getFirst(Headers.KEEP_ALIVE)
                ?.let { keepAliveTimeoutPattern.find(it) }
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull()
        return if (keepAliveTimeoutS == null) DEFAULT_IDLE_TIMEOUT_MS else keepAliveTimeoutS * MILLIS_PER_SECOND - IDLE_TIMEOUT_MARGIN_MS
    }

    private val IOException.detail: String
        get() = message ?: javaClass.simpleName

    private companion object {
        val methodsWithBody = setOf("POST", "PUT", "PATCH")
        val keepAliveTimeoutPattern = Regex("timeout=(\\d+)")
        const val MILLIS_PER_SECOND = 1_000L

        /** A server that states no keep-alive timeout may close the connection soon. */
        const val DEFAULT_IDLE_TIMEOUT_MS = 3_000L

        /** Avoids sending a request while the server closes the connection: covers network latency, delays and rounding to seconds. */
        const val IDLE_TIMEOUT_MARGIN_MS = 1_500L
    }
}

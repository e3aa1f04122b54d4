package io.kumquatmill.gateway.http

import io.undertow.client.ClientCallback
import io.undertow.client.ClientConnection
import io.undertow.client.ClientExchange
import io.undertow.client.ClientRequest
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.xnio.ChannelListener
import org.xnio.channels.StreamSinkChannel
import org.xnio.channels.StreamSourceChannel
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer

/** Sends one call over [connection] and reads its whole answer. */
internal class CallTransfer(
    private val call: HttpCall,
    private val connection: ClientConnection,
    private val maxAnswerBytes: Int,
    private val onAnswer: (answer: CallResult.Response, idleMs: Long) -> Unit,
    private val onBroken: (detail: String) -> Unit,
) {
    private val unsent: ByteBuffer = ByteBuffer.wrap(call.body)
    private val received = ByteArrayOutputStream()
    private var isRequestOut = false

    fun start() {
        val request = ClientRequest().setMethod(HttpString(call.method)).setPath(call.target)
        call.headers.forEach { (name, value) -> request.requestHeaders.add(HttpString(name), value) }
        if (call.body.isNotEmpty() || call.method in methodsWithBody) {
            request.requestHeaders.put(Headers.CONTENT_LENGTH, call.body.size.toLong())
        }
        connection.sendRequest(
            request,
            object : ClientCallback<ClientExchange> {
                override fun completed(result: ClientExchange) = transfer(result)

                override fun failed(e: IOException) = onBroken("sending failed: ${e.message}")
            },
        )
    }

    private fun transfer(exchange: ClientExchange) {
        exchange.setResponseListener(
            object : ClientCallback<ClientExchange> {
                override fun completed(result: ClientExchange) = read(result)

                override fun failed(e: IOException) = onBroken("no answer: ${e.message}")
            },
        )
        try {
            write(exchange.requestChannel)
        } catch (e: IOException) {
            onBroken("sending failed: ${e.message}")
        }
    }

    private fun write(channel: StreamSinkChannel) {
        while (unsent.hasRemaining()) {
            if (channel.write(unsent) == 0) return continueWriting(channel)
        }
        channel.shutdownWrites()
        if (channel.flush()) isRequestOut = true else continueWriting(channel)
    }

    private fun continueWriting(channel: StreamSinkChannel) {
        channel.writeSetter.set(
            ChannelListener { ready: StreamSinkChannel ->
                try {
                    ready.suspendWrites()
                    write(ready)
                } catch (e: IOException) {
                    onBroken("sending failed: ${e.message}")
                }
            },
        )
        channel.resumeWrites()
    }

    private fun read(exchange: ClientExchange) {
        val channel = exchange.responseChannel
        val listener =
            ChannelListener { ready: StreamSourceChannel ->
                try {
                    drain(exchange, ready)
                } catch (e: IOException) {
                    onBroken("the answer was cut: ${e.message}")
                }
            }
        channel.readSetter.set(listener)
        listener.handleEvent(channel)
    }

    private fun drain(
        exchange: ClientExchange,
        channel: StreamSourceChannel,
    ) {
        connection.bufferPool.allocate().use { pooled ->
            val buffer = pooled.buffer
            while (true) {
                buffer.clear()
                val count = channel.read(buffer)
                if (count == 0) {
                    channel.resumeReads()
                    return
                }
                if (count < 0) return complete(exchange)
                buffer.flip()
                if (received.size() + buffer.remaining() > maxAnswerBytes) {
                    return onBroken("the answer is longer than $maxAnswerBytes bytes")
                }
                val chunk = ByteArray(buffer.remaining())
                buffer.get(chunk)
                received.write(chunk)
            }
        }
    }

    private fun complete(exchange: ClientExchange) {
        val response = exchange.response
        val expectedBytes = response.responseHeaders.getFirst(Headers.CONTENT_LENGTH)?.toLongOrNull()
        if (expectedBytes != null && expectedBytes != received.size().toLong()) {
            return onBroken("the answer was cut: ${received.size()} of $expectedBytes bytes")
        }
        onAnswer(CallResult.Response(response.responseCode, response.responseHeaders, received.toByteArray()), idleMs(exchange))
    }

    /** How long the connection may wait for its next request; 0 when it may not be used again. */
    private fun idleMs(exchange: ClientExchange): Long {
        val headers = exchange.response.responseHeaders
        val closes = headers.getFirst(Headers.CONNECTION)?.contains("close", ignoreCase = true) ?: false
        val hasEnd = headers.contains(Headers.CONTENT_LENGTH) || headers.contains(Headers.TRANSFER_ENCODING)
        val isUsable = hasEnd && isRequestOut && connection.isOpen
        if (closes || !isUsable) return 0
        val timeoutS =
            headers
                .getFirst(Headers.KEEP_ALIVE)
                ?.let { keepAliveTimeout.find(it) }
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull()
        return if (timeoutS == null) UNSTATED_IDLE_MS else timeoutS * MILLIS_PER_SECOND - IDLE_MARGIN_MS
    }

    private companion object {
        val methodsWithBody = setOf("POST", "PUT", "PATCH")
        val keepAliveTimeout = Regex("timeout=(\\d+)")
        const val MILLIS_PER_SECOND = 1_000L

        /** A server that states no idle time may close soon. */
        const val UNSTATED_IDLE_MS = 3_000L

        /** A request must not cross the server's close: way, delay and rounding to seconds. */
        const val IDLE_MARGIN_MS = 1_500L
    }
}

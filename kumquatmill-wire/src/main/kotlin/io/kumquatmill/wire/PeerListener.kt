package io.kumquatmill.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.kumquatmill.node.message.PeerEnvelope
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/** Receives the messages of peers; each connection is read by a coroutine of its own. */
internal class PeerListener(
    private val settings: PeerTransportSettings,
    private val counters: PeerTransportCounters,
    private val onMessage: (PeerEnvelope) -> Unit,
) {
    private val openConnections = AtomicInteger()

    suspend fun run(
        scope: CoroutineScope,
        server: ServerSocket,
    ) {
        while (true) {
            val socket = server.accept()
            if (openConnections.incrementAndGet() > settings.maxInboundConnections) {
                openConnections.decrementAndGet()
                socket.close()
                logger.warn { "a peer connection was refused: ${settings.maxInboundConnections} are open" }
            } else {
                scope.launch { serve(socket) }
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            socket.use { readFrames(it) }
        } catch (e: FrameTooLargeException) {
            counters.malformed.increment()
            logger.error { "connection of ${socket.remoteAddress} closed: ${MalformedFrame(e.message.orEmpty()).message}" }
        } catch (e: TimeoutCancellationException) {
            logger.debug { "connection of ${socket.remoteAddress} closed after silence: ${e.message}" }
        } catch (e: IOException) {
            logger.debug { "connection of ${socket.remoteAddress} ended: ${e.message}" }
        } finally {
            openConnections.decrementAndGet()
        }
    }

    private suspend fun readFrames(socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        var isIntact = true
        while (isIntact) {
            val content = withTimeout(settings.silentMs) { input.readFrame(settings.maxFrameBytes) }
            counters.bytesReceived.add(content.size.toLong() + LENGTH_BYTES)
            isIntact = if (content.isEmpty()) answerHeartbeat(output) else receive(content, socket)
        }
    }

    private suspend fun answerHeartbeat(output: ByteWriteChannel): Boolean {
        withTimeout(settings.silentMs) { output.writeFrame(heartbeatFrame) }
        counters.bytesSent.add(LENGTH_BYTES.toLong())
        return true
    }

    private fun receive(
        content: ByteArray,
        socket: Socket,
    ): Boolean =
        PeerCodec.decode(content).fold(
            { fault ->
                counters.malformed.increment()
                logger.error { "connection of ${socket.remoteAddress} closed: ${fault.message}" }
                false
            },
            { envelope ->
                counters.received.increment()
                onMessage(envelope)
                true
            },
        )
}

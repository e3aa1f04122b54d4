package io.kumquatmill.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.ServerSocket
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
            val socket = server.acceptPeer()
            if (openConnections.incrementAndGet() > settings.maxInboundConnections) {
                openConnections.decrementAndGet()
                socket.close()
                logger.warn { "a peer connection was refused: ${settings.maxInboundConnections} are open" }
            } else {
                scope.launch { serve(socket) }
            }
        }
    }

    private suspend fun serve(socket: PeerSocket) {
        try {
            socket.use { readFrames(it) }
        } catch (e: TimeoutCancellationException) {
            logger.debug { "connection of ${socket.remoteAddress} closed after silence: ${e.message}" }
        } catch (e: IOException) {
            logger.debug { "connection of ${socket.remoteAddress} ended: ${e.message}" }
        } finally {
            openConnections.decrementAndGet()
        }
    }

    private suspend fun readFrames(socket: PeerSocket) {
        var isIntact = true
        while (isIntact) {
            val content = readFrame(socket)
            counters.bytesReceived.add(content.size.toLong() + LENGTH_BYTES)
            isIntact = if (content.isEmpty()) answerHeartbeat(socket) else receive(content, socket)
        }
    }

    private suspend fun readFrame(socket: PeerSocket): ByteArray =
        try {
            withTimeout(settings.silentMs) { socket.readFrame(settings.maxFrameBytes) }
        } catch (e: FrameTooLargeException) {
            noteMalformed(socket, MalformedFrame(e.message.orEmpty()))
            throw e
        }

    private suspend fun answerHeartbeat(socket: PeerSocket): Boolean {
        withTimeout(settings.silentMs) { socket.writeFrame(heartbeatFrame) }
        counters.bytesSent.add(LENGTH_BYTES.toLong())
        return true
    }

    private fun receive(
        content: ByteArray,
        socket: PeerSocket,
    ): Boolean =
        PeerCodec.decode(content).fold(
            { fault ->
                noteMalformed(socket, fault)
                false
            },
            { envelope ->
                counters.received.increment()
                onMessage(envelope)
                true
            },
        )

    private fun noteMalformed(
        socket: PeerSocket,
        fault: MalformedFrame,
    ) {
        counters.malformed.increment()
        logger.error { "connection of ${socket.remoteAddress} closed: ${fault.message}" }
    }
}

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

/** Receives messages from peers; each connection is read by its own coroutine. */
internal class PeerListener(
    private val settings: PeerTransportSettings,
    private val counters: PeerTransportCounters,
    private val onMessage: (PeerEnvelope) -> Unit,
) {
    private val openConnections = AtomicInteger()

    /** Accepts connections on [server] and reads each of them in [scope], until it is cancelled. */
    suspend fun run(
        scope: CoroutineScope,
        server: ServerSocket,
    ) {
        while (true) {
            val socket = server.acceptPeer()
            if (openConnections.incrementAndGet() > settings.maxInboundConnections) {
                openConnections.decrementAndGet()
                socket.close()
                logger.warn { "peer connection closed: the limit of ${settings.maxInboundConnections} open connections is reached" }
            } else {
                scope.launch { serve(socket) }
            }
        }
    }

    private suspend fun serve(socket: PeerSocket) {
        try {
            socket.use { readFrames(it) }
        } catch (e: TimeoutCancellationException) {
            logger.debug { "connection from ${socket.remoteAddress} timed out: ${e.message}" }
        } catch (e: IOException) {
            logger.debug { "connection from ${socket.remoteAddress} ended: ${e.message}" }
        } finally {
            openConnections.decrementAndGet()
        }
    }

    private suspend fun readFrames(socket: PeerSocket) {
        var isConnectionValid = true
        while (isConnectionValid) {
            val content = readFrame(socket)
            counters.bytesReceived.add(content.size.toLong() + LENGTH_PREFIX_BYTES)
            isConnectionValid = if (content.isEmpty()) replyToHeartbeat(socket) else receive(content, socket)
        }
    }

    private suspend fun readFrame(socket: PeerSocket): ByteArray =
        try {
            withTimeout(settings.silenceTimeoutMs) { socket.readFrame(settings.maxFrameBytes) }
        } catch (e: FrameTooLargeException) {
            reportMalformed(socket, MalformedFrame(e.message.orEmpty()))
            throw e
        }

    private suspend fun replyToHeartbeat(socket: PeerSocket): Boolean {
        withTimeout(settings.silenceTimeoutMs) { socket.writeFrame(heartbeatFrame) }
        counters.bytesSent.add(LENGTH_PREFIX_BYTES.toLong())
        return true
    }

    private fun receive(
        content: ByteArray,
        socket: PeerSocket,
    ): Boolean =
        PeerCodec.decode(content).fold(
            { error ->
                reportMalformed(socket, error)
                false
            },
            { envelope ->
                counters.received.increment()
                onMessage(envelope)
                true
            },
        )

    private fun reportMalformed(
        socket: PeerSocket,
        error: MalformedFrame,
    ) {
        counters.malformed.increment()
        logger.error { "connection from ${socket.remoteAddress} closed: ${error.message}" }
    }
}

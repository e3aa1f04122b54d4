package io.kumquatmill.wire

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.node.message.PeerEnvelope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

private val logger = KotlinLogging.logger {}

/** Queues the messages to one peer and sends them over a connection that is opened on demand. */
internal class PeerSender(
    private val address: HostAddress,
    private val settings: PeerTransportSettings,
    private val selector: SelectorManager,
    private val clock: MonotonicClock,
    private val backoff: Backoff,
    private val counters: PeerTransportCounters,
) {
    private val queue = OutboundMessageQueue(settings.queueCapacity, counters)
    private val messageAvailable = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var lastHeartbeatAtMs = 0L

    @Volatile
    private var lastQueuedAtMs = clock.nowMs()

    /** Number of queued messages. */
    val queueSize: Int
        get() = queue.size

    /** Whether the queue is empty and no message was queued for longer than the idle timeout, so that this sender may be removed. */
    val isIdle: Boolean
        get() = queue.isEmpty && clock.nowMs() - lastQueuedAtMs > settings.idleTimeoutMs

    /** Queues [envelope] without blocking. */
    fun offer(envelope: PeerEnvelope) {
        lastQueuedAtMs = clock.nowMs()
        queue.offer(QueuedMessage(envelope, lastQueuedAtMs))
        messageAvailable.trySend(Unit)
    }

    /** Sends queued messages until this sender is idle and [removeIfIdle] returns true. */
    suspend fun run(removeIfIdle: () -> Boolean) {
        while (currentCoroutineContext().isActive) {
            if (isIdle && removeIfIdle()) return
            if (!queue.isEmpty) sendUntilDisconnected() else awaitMessage()
        }
    }

    private suspend fun sendUntilDisconnected() {
        try {
            open().use { socket -> runConnection(socket) }
        } catch (e: IOException) {
            logger.debug { "connection to peer $address was lost: ${e.message}; reconnecting" }
            delay(backoff.nextDelayMs())
        }
    }

    private suspend fun open(): PeerSocket {
        val socket =
            try {
                withTimeout(settings.connectTimeoutMs) { PeerSocket.connect(selector, address) }
            } catch (e: TimeoutCancellationException) {
                throw IOException("connect timed out after ${settings.connectTimeoutMs} ms", e)
            }
        counters.opened.increment()
        return socket
    }

    /**
     * Sends messages over [socket] until this sender is idle.
     *
     * Fails as soon as the peer closes the connection or stops replying to heartbeats, so that the next message goes over a
     * new connection.
     */
    private suspend fun runConnection(socket: PeerSocket) =
        coroutineScope {
            lastHeartbeatAtMs = clock.nowMs()
            launch { readHeartbeats(socket) }
            launch { monitorHeartbeats() }
            writeUntilIdle(socket)
            coroutineContext.cancelChildren()
        }

    private suspend fun readHeartbeats(socket: PeerSocket) {
        while (true) {
            counters.bytesReceived.add(socket.readFrame(maxBytes = 0).size.toLong() + LENGTH_PREFIX_BYTES)
            lastHeartbeatAtMs = clock.nowMs()
            backoff.reset()
        }
    }

    private suspend fun monitorHeartbeats() {
        while (clock.nowMs() - lastHeartbeatAtMs <= settings.silenceTimeoutMs) delay(settings.heartbeatIntervalMs / 2)
        counters.timedOut.increment()
        logger.warn { "peer $address did not reply to heartbeats for ${settings.silenceTimeoutMs} ms: reconnecting" }
        throw IOException("heartbeat timed out")
    }

    private suspend fun writeUntilIdle(socket: PeerSocket) {
        var nextHeartbeatAtMs = clock.nowMs()
        while (!isIdle) {
            val nowMs = clock.nowMs()
            if (nowMs >= nextHeartbeatAtMs) {
                write(socket, heartbeatFrame)
                nextHeartbeatAtMs = nowMs + settings.heartbeatIntervalMs
            }
            val message = queue.poll(nowMs - settings.maxMessageAgeMs)
            if (message == null) awaitMessage() else send(socket, message.envelope)
        }
    }

    private suspend fun send(
        socket: PeerSocket,
        envelope: PeerEnvelope,
    ) {
        val content = encode(envelope) ?: return
        if (content.size > settings.maxFrameBytes) {
            counters.dropped.increment()
            logger.error { "message to ${envelope.to} dropped: its ${content.size} bytes exceed the maximum of ${settings.maxFrameBytes}" }
            return
        }
        try {
            write(socket, content)
            counters.sent.increment()
        } catch (e: IOException) {
            counters.dropped.increment()
            throw e
        }
    }

    private fun encode(envelope: PeerEnvelope): ByteArray? =
        Either
            .catch { PeerCodec.encode(envelope) }
            .onLeft {
                counters.dropped.increment()
                logger.error(it) { "message to ${envelope.to} dropped: it cannot be encoded" }
            }.getOrNull()

    private suspend fun write(
        socket: PeerSocket,
        content: ByteArray,
    ) {
        socket.writeFrame(content)
        counters.bytesSent.add(content.size.toLong() + LENGTH_PREFIX_BYTES)
    }

    private suspend fun awaitMessage() {
        withTimeoutOrNull(settings.heartbeatIntervalMs) { messageAvailable.receive() }
    }
}

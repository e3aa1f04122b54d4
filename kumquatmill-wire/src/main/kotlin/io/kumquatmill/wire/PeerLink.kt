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

/** The connection that carries messages to one peer; it is opened when there is something to send. */
internal class PeerLink(
    private val address: HostAddress,
    private val settings: PeerTransportSettings,
    private val selector: SelectorManager,
    private val clock: MonotonicClock,
    private val backoff: Backoff,
    private val counters: PeerTransportCounters,
) {
    private val ring = MessageRing(settings.ringCapacity, counters)
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var lastHeardMs = 0L

    @Volatile
    private var lastOfferedMs = clock.nowMs()

    val depth: Int
        get() = ring.depth

    /** Returns whether nothing was sent for so long that the link is to be forgotten. */
    val isIdle: Boolean
        get() = ring.isEmpty && clock.nowMs() - lastOfferedMs > settings.idlePeerMs

    /** Queues [envelope] without waiting. */
    fun offer(envelope: PeerEnvelope) {
        lastOfferedMs = clock.nowMs()
        ring.offer(QueuedMessage(envelope, lastOfferedMs))
        wakeUp.trySend(Unit)
    }

    /** Sends what is queued until the link is idle; then [forget] says whether it may end. */
    suspend fun run(forget: () -> Boolean) {
        while (currentCoroutineContext().isActive) {
            if (isIdle && forget()) return
            if (!ring.isEmpty) sendOverOneConnection() else awaitMessage()
        }
    }

    private suspend fun sendOverOneConnection() {
        try {
            open().use { socket -> exchange(socket) }
        } catch (e: IOException) {
            logger.debug { "connection to peer $address ended: ${e.message}; a new one follows" }
            delay(backoff.nextMs())
        }
    }

    private suspend fun open(): PeerSocket {
        val socket =
            try {
                withTimeout(settings.connectTimeoutMs) { PeerSocket.connect(selector, address) }
            } catch (e: TimeoutCancellationException) {
                throw IOException("no connection within ${settings.connectTimeoutMs} ms", e)
            }
        counters.opened.increment()
        return socket
    }

    /** Ends as soon as the peer closes the connection or is silent, so that the next message goes over a new one. */
    private suspend fun exchange(socket: PeerSocket) =
        coroutineScope {
            lastHeardMs = clock.nowMs()
            launch { readHeartbeats(socket) }
            launch { failWhenSilent() }
            writeUntilIdle(socket)
            coroutineContext.cancelChildren()
        }

    private suspend fun readHeartbeats(socket: PeerSocket) {
        while (true) {
            counters.bytesReceived.add(socket.readFrame(maxBytes = 0).size.toLong() + LENGTH_BYTES)
            lastHeardMs = clock.nowMs()
            backoff.reset()
        }
    }

    private suspend fun failWhenSilent() {
        while (clock.nowMs() - lastHeardMs <= settings.silentMs) delay(settings.heartbeatIntervalMs / 2)
        counters.silent.increment()
        logger.warn { "peer $address was silent for ${settings.silentMs} ms: the connection is closed and opened anew" }
        throw IOException("the peer was silent")
    }

    private suspend fun writeUntilIdle(socket: PeerSocket) {
        var heartbeatDueMs = clock.nowMs()
        while (!isIdle) {
            val nowMs = clock.nowMs()
            if (nowMs >= heartbeatDueMs) {
                write(socket, heartbeatFrame)
                heartbeatDueMs = nowMs + settings.heartbeatIntervalMs
            }
            val message = ring.poll(nowMs - settings.maxMessageAgeMs)
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
            logger.error { "message of ${content.size} bytes to ${envelope.to} dropped: at most ${settings.maxFrameBytes} are allowed" }
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
                logger.error(it) { "message to ${envelope.to} dropped: it can't be encoded" }
            }.getOrNull()

    private suspend fun write(
        socket: PeerSocket,
        content: ByteArray,
    ) {
        socket.writeFrame(content)
        counters.bytesSent.add(content.size.toLong() + LENGTH_BYTES)
    }

    private suspend fun awaitMessage() {
        withTimeoutOrNull(settings.heartbeatIntervalMs) { wakeUp.receive() }
    }
}

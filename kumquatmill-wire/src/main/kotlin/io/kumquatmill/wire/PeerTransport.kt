package io.kumquatmill.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.awaitClosed
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.node.message.PeerEnvelope
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Transport of messages between entry hosts: length-prefixed CBOR frames over TCP.
 *
 * Each direction between two hosts uses its own connection. [send] never blocks and delivery is not guaranteed: when a
 * peer's queue is full, the oldest message is dropped. [onMessage] is called on the transport's thread and must not block.
 */
class PeerTransport(
    private val listenAddress: HostAddress,
    private val settings: PeerTransportSettings = PeerTransportSettings(),
    private val clock: MonotonicClock = MonotonicClock.system,
    private val random: Random = Random.Default,
    private val onMessage: (PeerEnvelope) -> Unit,
) : AutoCloseable {
    /** Counters of this transport since its start. */
    val counters = PeerTransportCounters()

    private val transportThread = singleThread("peer-transport").asCoroutineDispatcher()
    private val ioExecutor = singleThread("peer-io")
    private val selector = SelectorManager(ioExecutor.asCoroutineDispatcher())
    private val exceptionHandler = CoroutineExceptionHandler { _, e -> if (!isClosed) logger.error(e) { "peer transport task failed" } }
    private val scope = CoroutineScope(SupervisorJob() + transportThread + exceptionHandler)
    private val senders = ConcurrentHashMap<HostAddress, PeerSender>()

    @Volatile
    private var isClosed = false

    @Volatile
    private var listeningSocket: ServerSocket? = null

    /** Number of messages that are queued for all peers. */
    val queuedMessages: Int
        get() = senders.values.sumOf { it.queueSize }

    /** Binds the listening socket and starts receiving; blocks until the socket is bound. */
    fun start() {
        val server = runBlocking { aSocket(selector).tcp().bind(listenAddress.ip, listenAddress.port) { reuseAddress = true } }
        listeningSocket = server
        scope.launch { server.use { PeerListener(settings, counters, onMessage).run(scope, it) } }
    }

    /** Queues [envelope] for the peer at [address]. */
    fun send(
        address: HostAddress,
        envelope: PeerEnvelope,
    ) {
        senders.compute(address) { _, sender -> (sender ?: startSender(address)).apply { offer(envelope) } }
    }

    /** Closes all connections and waits up to [CLOSE_TIMEOUT_MS] until the listening port is free again. */
    override fun close() {
        isClosed = true
        scope.cancel()
        listeningSocket?.let { server ->
            server.close()
            runBlocking { withTimeoutOrNull(CLOSE_TIMEOUT_MS) { server.awaitClosed() } }
        }
        selector.close()
        transportThread.close()
        // The port is free only when the selector has released its channels, which happens as its thread ends.
        ioExecutor.shutdown()
        ioExecutor.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private fun startSender(address: HostAddress): PeerSender {
        val backoff = Backoff(settings.minReconnectDelayMs, settings.maxReconnectDelayMs, Random(random.nextLong()))
        val sender = PeerSender(address, settings, selector, clock, backoff, counters)
        scope.launch { sender.run { removeIfIdle(address) } }
        return sender
    }

    private fun removeIfIdle(address: HostAddress): Boolean =
        senders.computeIfPresent(address) { _, sender -> if (sender.isIdle) null else sender } == null

    private fun singleThread(name: String): ExecutorService =
        Executors.newSingleThreadExecutor { task -> Thread(task, name).apply { isDaemon = true } }

    private companion object {
        const val CLOSE_TIMEOUT_MS = 1_000L
    }
}

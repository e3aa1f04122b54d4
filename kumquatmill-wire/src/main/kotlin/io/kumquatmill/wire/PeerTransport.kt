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
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Carries messages between entry hosts: CBOR in frames with a length in front, over TCP.
 *
 * Each direction of a pair of hosts has a connection of its own. [send] never waits: a message may be lost, and the oldest is
 * when a peer's ring is full. [onMessage] is called on the transport's thread and must not block.
 */
class PeerTransport(
    private val listenAddress: HostAddress,
    private val settings: PeerTransportSettings = PeerTransportSettings(),
    private val clock: MonotonicClock = MonotonicClock.system,
    private val random: Random = Random.Default,
    private val onMessage: (PeerEnvelope) -> Unit,
) : AutoCloseable {
    val counters = PeerTransportCounters()

    private val workThread = singleThread("peer-transport").asCoroutineDispatcher()
    private val ioThread = singleThread("peer-io").asCoroutineDispatcher()
    private val selector = SelectorManager(ioThread)
    private val faults = CoroutineExceptionHandler { _, e -> if (!isClosed) logger.error(e) { "a peer connection failed" } }
    private val scope = CoroutineScope(SupervisorJob() + workThread + faults)
    private val links = ConcurrentHashMap<HostAddress, PeerLink>()

    @Volatile
    private var isClosed = false

    @Volatile
    private var listeningSocket: ServerSocket? = null

    /** Number of messages that wait for their connections. */
    val queuedMessages: Int
        get() = links.values.sumOf { it.depth }

    /** Binds the listening socket and starts to receive. */
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
        links.compute(address) { _, link -> (link ?: startLink(address)).apply { offer(envelope) } }
    }

    /** Ends all connections; when it returns, the listening port is free again. */
    override fun close() {
        isClosed = true
        scope.cancel()
        listeningSocket?.let { server ->
            server.close()
            runBlocking { withTimeoutOrNull(CLOSE_TIMEOUT_MS) { server.awaitClosed() } }
        }
        selector.close()
        workThread.close()
        ioThread.close()
    }

    private fun startLink(address: HostAddress): PeerLink {
        val backoff = Backoff(settings.reconnectMinMs, settings.reconnectMaxMs, Random(random.nextLong()))
        val link = PeerLink(address, settings, selector, clock, backoff, counters)
        scope.launch { link.run { forget(address) } }
        return link
    }

    private fun forget(address: HostAddress): Boolean =
        links.computeIfPresent(address) { _, link -> if (link.isIdle) null else link } == null

    private fun singleThread(name: String): ExecutorService =
        Executors.newSingleThreadExecutor { task -> Thread(task, name).apply { isDaemon = true } }

    private companion object {
        const val CLOSE_TIMEOUT_MS = 1_000L
    }
}

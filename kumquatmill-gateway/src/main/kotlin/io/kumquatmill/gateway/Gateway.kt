package io.kumquatmill.gateway

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.caller.CallerContext
import io.kumquatmill.gateway.caller.CallerHandler
import io.kumquatmill.gateway.caller.StopTimes
import io.kumquatmill.gateway.http.LoopClient
import io.kumquatmill.gateway.log.EventLog
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.gateway.peer.PeerMessage
import io.kumquatmill.gateway.peer.PeerSocket
import io.kumquatmill.gateway.settings.GatewaySettings
import io.kumquatmill.gateway.store.HostRegistration
import io.kumquatmill.gateway.store.LoopStore
import io.kumquatmill.gateway.store.SendStoreCall
import io.kumquatmill.gateway.store.StateCache
import io.kumquatmill.gateway.store.StoreFollower
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.fleet.KnownHost
import io.kumquatmill.traffic.ratelimit.LoanRequest
import io.undertow.server.DefaultByteBufferPool
import kotlinx.serialization.json.Json
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import org.xnio.XnioIoThread
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * An entry host: one event loop that serves callers, follows the store, and exchanges reports with its peers.
 *
 * All state belongs to the loop; the only other threads receive datagrams and write log lines.
 */
class Gateway(
    private val settings: GatewaySettings,
    private val adapter: GatewayAdapter,
    private val clock: MonotonicClock = MonotonicClock.system,
) {
    private val log = EventLog()
    private val metrics = GatewayMetrics()
    private val worker =
        Xnio.getInstance().createWorker(
            OptionMap
                .builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .map,
        )
    private val loop: XnioIoThread = worker.ioThread
    private val buffers = DefaultByteBufferPool(false, BUFFER_BYTES, POOLED_BUFFERS, 0)
    private val desk = TrafficController(settings.self, settings.traffic) { ask -> sendAsk(ask) }
    private val client = LoopClient(loop, buffers, clock)
    private val callers =
        CallerHandler(CallerContext(adapter.names, desk, client, clock, RequestLog(), metrics, settings.maxCallerConnections))
    private val random = Random(settings.self.host.hashCode() xor System.nanoTime().toInt())
    private val store = LoopStore(client, settings.store, adapter.storeProtocol)
    private val sendStoreCall: SendStoreCall = { call, onEnd ->
        store.call(call) { result ->
            metrics.countStoreCall(result.fold({ it.javaClass.simpleName }, { "answered" }))
            onEnd(result)
        }
    }
    private val cache = StateCache(adapter.keys, adapter.decoder)
    private val belief = HostBelief(cache, desk, clock, log) { openToCallers() }
    private val followers =
        adapter.keys.followedPrefixes.map { StoreFollower(it, sendStoreCall, ::runAfter, belief, random) }
    private val registration =
        HostRegistration(
            key = adapter.keys.hostPrefix + settings.self.host,
            record = Json.encodeToString(KnownHost.serializer(), settings.self),
            send = sendStoreCall,
            runAfter = ::runAfter,
            random = random,
        )
    private val peerSocket =
        PeerSocket(settings.self.ip, settings.peerReportPort, log) { message -> loop.execute { fleetTalk.onMessage(message) } }
    private val fleetTalk: FleetTalk =
        FleetTalk(settings, desk, cache, belief, client, peerSocket, clock, log, adapter.keys.followedPrefixes) { isServing }
    private val servers = GatewayServers(settings, adapter, worker, buffers, callers, desk, cache, metrics, clock) { isServing }
    private var isDraining = false
    private var isOpen = false
    private val stopped = CompletableFuture<Boolean>()

    private val isServing: Boolean
        get() = isOpen && desk.isReady && !isDraining

    /** Starts to listen and to follow the store; throws when an address can't be bound. */
    fun start() {
        servers.start()
        peerSocket.start()
        loop.execute {
            followers.forEach { it.start() }
            registration.start()
            fleetTalk.start(::runAfter)
            loop.executeAtInterval({ tick() }, TICK_MS, TimeUnit.MILLISECONDS)
        }
        log.note("host started", "host" to settings.self.host, "region" to settings.self.region, "callers" to settings.callers)
    }

    /** Stops taking callers, answers what was taken in, and returns whether all of it was answered. */
    fun stop(): Boolean {
        loop.execute { drain() }
        return stopped.get()
    }

    private fun drain() {
        if (isDraining) return
        isDraining = true
        val nowMs = clock.nowMs()
        val takesAllMs = (settings.stopWithinMs * TAKES_ALL_PART).toLong()
        callers.drain(StopTimes(takesAllUntilMs = nowMs + takesAllMs, stopsAtMs = nowMs + settings.stopWithinMs - STOP_MARGIN_MS))
        log.note("host stops", "openRequests" to callers.openRequests)
        fleetTalk.report()
        registration.end()
        awaitEnd(nowMs)
    }

    /** Callers keep an answer of the directory for a while: connections are taken until few of them still can. */
    private fun awaitEnd(sinceMs: Long) {
        val elapsedMs = clock.nowMs() - sinceMs
        val isQuiet = elapsedMs >= settings.stopWithinMs * QUIET_PART && callers.openRequests == 0
        if (isQuiet || elapsedMs >= settings.stopWithinMs - STOP_MARGIN_MS) {
            log.note("host stopped", "openRequests" to callers.openRequests, "afterMs" to elapsedMs)
            stopped.complete(callers.openRequests == 0)
        } else {
            runAfter(STOP_POLL_MS) { awaitEnd(sinceMs) }
        }
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        belief.tick(nowMs)
        desk.tick(nowMs)
        client.sweep()
    }

    /** Opens the callers' address when the first desired state is known; off the loop, since binding waits for it. */
    private fun openToCallers() {
        thread(name = "open", isDaemon = true) {
            try {
                servers.openToCallers()
                loop.execute {
                    isOpen = true
                    fleetTalk.report()
                    log.note("callers' address open", "callers" to settings.callers)
                }
            } catch (e: IOException) {
                log.warn("callers' address can't be opened", "callers" to settings.callers, "detail" to e.message)
                stopped.complete(false)
            }
        }
    }

    private fun sendAsk(ask: LoanRequest) {
        val lender = desk.peers().find { it.host == ask.lender } ?: return
        peerSocket.send(PeerMessage(ask = ask), listOf(lender.ip))
    }

    private fun runAfter(
        delayMs: Long,
        task: () -> Unit,
    ) {
        loop.executeAfter(task, delayMs, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val BUFFER_BYTES = 8 * 1024
        const val POOLED_BUFFERS = 256
        const val TICK_MS = 250L

        /** Part of the time to stop in which all requests are taken: callers look up again within it. */
        const val TAKES_ALL_PART = 0.5

        /** Part of the time to stop in which new connections are still taken. */
        const val QUIET_PART = 0.6
        const val STOP_MARGIN_MS = 400L
        const val STOP_POLL_MS = 50L
    }
}

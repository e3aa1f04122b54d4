package io.kumquatmill.gateway

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.caller.CallerContext
import io.kumquatmill.gateway.caller.CallerHandler
import io.kumquatmill.gateway.caller.DrainSchedule
import io.kumquatmill.gateway.caller.LoanWaiters
import io.kumquatmill.gateway.closing.LingeringClose
import io.kumquatmill.gateway.closing.LingeringEnd
import io.kumquatmill.gateway.explain.ExplainHandler
import io.kumquatmill.gateway.http.EventLoopHttpClient
import io.kumquatmill.gateway.log.EventLog
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.gateway.peer.PeerChangesClient
import io.kumquatmill.gateway.peer.PeerInbox
import io.kumquatmill.gateway.peer.PeerMessage
import io.kumquatmill.gateway.peer.PeerSocket
import io.kumquatmill.gateway.relay.RelayHandler
import io.kumquatmill.gateway.response.SlowReaders
import io.kumquatmill.gateway.settings.GatewaySettings
import io.kumquatmill.gateway.store.EventLoopStoreClient
import io.kumquatmill.gateway.store.HostRegistration
import io.kumquatmill.gateway.store.PrefixWatcher
import io.kumquatmill.gateway.store.SendStoreCall
import io.kumquatmill.gateway.store.SharedWatch
import io.kumquatmill.gateway.store.StateCache
import io.kumquatmill.gateway.store.StoreCallSchedule
import io.kumquatmill.gateway.store.describeRevision
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.crash.CrashEvent
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.leaving.LeavingChange
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.pause.PauseChange
import io.kumquatmill.traffic.ratelimit.LoanRequest
import io.kumquatmill.traffic.reach.ReachChange
import io.kumquatmill.traffic.workerlimit.WorkerLimitChange
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
import kotlin.math.min
import kotlin.random.Random

/**
 * An entry host: serves callers, watches the store and exchanges reports with peers on a single event loop.
 *
 * All state is confined to the event loop. The only other threads receive datagrams and write log lines.
 */
class Gateway(
    private val settings: GatewaySettings,
    private val adapter: GatewayAdapter,
    private val clock: MonotonicClock = MonotonicClock.system,
) {
    private val log = EventLog()
    private val metrics = GatewayMetrics()
    private val xnioWorker =
        Xnio.getInstance().createWorker(
            OptionMap
                .builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .map,
        )
    private val loop: XnioIoThread = xnioWorker.ioThread
    private val bufferPool = DefaultByteBufferPool(false, BUFFER_BYTES, POOLED_BUFFERS, 0)
    private val controller: TrafficController =
        TrafficController(
            settings.self,
            settings.traffic,
            ::sendLoanRequest,
            ::onWorkerLimitChange,
            ::probeWorker,
            ::onCrashEvent,
            ::onReachChange,
            ::onLeavingChange,
            ::onPauseChange,
        )
    private val httpClient = EventLoopHttpClient(loop, bufferPool, clock, onConnectionNeeded = metrics::countConnection)
    private val loanWaiters = LoanWaiters()
    private val slowReaders = SlowReaders(clock, metrics, RequestLog())
    private val lingeringClose = LingeringClose(settings.maxCallerConnections, ::onLingeringEnded)
    private val callerHandler =
        CallerHandler(
            CallerContext(
                adapter.headerNames,
                controller,
                httpClient,
                clock,
                RequestLog(),
                metrics,
                loanWaiters,
                settings.maxCallerConnections,
                lingeringClose,
                settings.peerStateAddress.port,
            ),
        )
    private val relayHandler: RelayHandler =
        RelayHandler(
            controller,
            httpClient,
            adapter.headerNames,
            clock,
            RequestLog(),
            metrics,
            settings.traffic.reach.maxRelays,
        ) { isServing }
    private val random = Random(settings.self.host.hashCode() xor System.nanoTime().toInt())
    private val storeSchedule = StoreCallSchedule(settings.storeRecoveryMs)
    private val storeClient =
        EventLoopStoreClient(httpClient, settings.storeAddress, adapter.storeProtocol, storeSchedule, ::onNewStoreEra)
    private val sendStoreCall: SendStoreCall = { call, onResult ->
        storeClient.call(call) { result ->
            metrics.countStoreCall(result.fold({ it.javaClass.simpleName }, { "answered" }))
            onResult(result)
        }
    }
    private val cache = StateCache(adapter.stateKeys, adapter.stateDecoder)
    private val stateUpdater = StateUpdater(cache, controller, clock, log) { openCallerListener() }
    private val sharedWatch =
        SharedWatch(
            controller.changeSource,
            sendStoreCall,
            PeerChangesClient(httpClient, settings.peerStateAddress.port)::ask,
            ::runAfter,
            clock,
            { isServing },
            cache::isSettling,
            min(SharedWatch.MAX_ANSWER_AGE_MS, settings.storeRecoveryMs / 4),
            ::onReaderAnswer,
        )
    private val watchers =
        adapter.stateKeys.watchedPrefixes.map {
            PrefixWatcher(
                it,
                sharedWatch::send,
                ::runAfter,
                stateUpdater,
                random,
                sharedWatch::batchMs,
                storeSchedule,
                storeClient::isConnected,
                cache::isSettling,
            )
        }
    private val registration =
        HostRegistration(
            key = adapter.stateKeys.hostPrefix + settings.self.host,
            record = Json.encodeToString(EntryHostInfo.serializer(), settings.self),
            sendCall = sendStoreCall,
            runAfter = ::runAfter,
            random = random,
        )
    private val peerSocket =
        PeerSocket(settings.self.ip, settings.peerReportPort, log, PeerInbox({ loop.execute(it) }) { peerSynchronizer.onMessage(it) }::add)
    private val peerSynchronizer: PeerSynchronizer =
        PeerSynchronizer(
            settings,
            controller,
            cache,
            stateUpdater,
            httpClient,
            peerSocket,
            clock,
            log,
            adapter.stateKeys.watchedPrefixes,
            loanWaiters,
        ) { isServing }
    private val servers =
        GatewayServers(
            settings,
            adapter,
            xnioWorker,
            bufferPool,
            callerHandler,
            DirectoryHandler(settings, adapter, controller, metrics, clock, log) { isServing },
            PeerHandler(relayHandler, ExplainHandler(settings.self.host, controller, clock), cache, sharedWatch::changesAfter),
            metrics,
            slowReaders,
            lingeringClose,
        ) { isServing }
    private var lastReader: String? = null
    private var isDraining = false
    private var isCallerListenerOpen = false
    private val stopped = CompletableFuture<Boolean>()

    /** Number of requests of callers and peers that were accepted and are not yet answered. */
    private val openRequestCount: Int
        get() = callerHandler.activeRequestCount + relayHandler.activeCount

    /** Whether all responses are written, and read by callers that have closed their connections behind the last one. */
    private val areResponsesDelivered: Boolean
        get() = openRequestCount == 0 && slowReaders.unwrittenCount == 0 && lingeringClose.count == 0

    private val isServing: Boolean
        get() = isCallerListenerOpen && controller.isReady && !isDraining

    /** Opens the listeners and starts to watch the store. Throws an exception if an address cannot be bound. */
    fun start() {
        servers.start()
        peerSocket.start()
        loop.execute {
            watchers.forEach { it.start() }
            registration.start()
            peerSynchronizer.start(::runAfter)
            loop.executeAtInterval({ tick() }, TICK_MS, TimeUnit.MILLISECONDS)
        }
        log.info("host started", "host" to settings.self.host, "region" to settings.self.region, "callers" to settings.callerAddress)
    }

    /** Drains this host and blocks until it has stopped; returns whether all accepted requests were answered. */
    fun stop(): Boolean {
        loop.execute { drain() }
        return stopped.get()
    }

    private fun drain() {
        if (isDraining) return
        isDraining = true
        val nowMs = clock.nowMs()
        callerHandler.drain(DrainSchedule.of(nowMs, settings.stopTimeoutMs))
        log.info("draining host", "openRequests" to openRequestCount)
        controller.leave(nowMs)
        peerSynchronizer.sendReport()
        registration.deregister()
        awaitDrained(nowMs)
    }

    /**
     * Completes the stop once all responses are delivered, or shortly before the stop timeout: the end of the process closes all
     * connections. Callers cache directory responses, so connections are accepted until few callers can still hold an old response.
     */
    private fun awaitDrained(sinceMs: Long) {
        val elapsedMs = clock.nowMs() - sinceMs
        val isRefusing = elapsedMs >= settings.stopTimeoutMs * MIN_DRAIN_FRACTION
        if (isRefusing) closeCallerListener()
        if ((isRefusing && areResponsesDelivered) || elapsedMs >= settings.stopTimeoutMs - DrainSchedule.EXIT_MARGIN_MS) {
            log.info(
                "host stopped",
                "openRequests" to openRequestCount,
                "unwrittenResponses" to slowReaders.unwrittenCount,
                "lingeringConnections" to lingeringClose.count,
                "afterMs" to elapsedMs,
            )
            stopped.complete(openRequestCount == 0 && slowReaders.unwrittenCount == 0)
        } else {
            runAfter(STOP_POLL_MS) { awaitDrained(sinceMs) }
        }
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        stateUpdater.tick(nowMs)
        controller.tick(nowMs)
        httpClient.closeExpiredConnections()
        callerHandler.tick()
        slowReaders.tick()
        metrics.setLingeringConnections(lingeringClose.count)
        metrics.setLimitedWorkers(controller.limitedWorkers)
        metrics.setUsedSharedLoads(controller.usedSharedLoads)
        metrics.setQuarantinedRequests(controller.quarantinedRequests)
        stateUpdater.answerAgeMs(nowMs)?.let { metrics.setStoreAnswerAge(it) }
    }

    /** Opens the caller listener on a separate thread, because binding a listener waits for the event loop. */
    private fun openCallerListener() {
        thread(name = "open", isDaemon = true) {
            try {
                servers.openCallerListener()
                loop.execute {
                    isCallerListenerOpen = true
                    peerSynchronizer.sendReport()
                    log.info("caller listener open", "callers" to settings.callerAddress)
                }
            } catch (e: IOException) {
                log.warn(
                    "cannot open the caller listener: check that its address belongs to this machine and is free",
                    "callers" to settings.callerAddress,
                    "detail" to e.message,
                )
                stopped.complete(false)
            }
        }
    }

    /** Closes the caller listener on a separate thread, because closing it may wait for the event loop. */
    private fun closeCallerListener() {
        if (!isCallerListenerOpen) return
        isCallerListenerOpen = false
        thread(name = "close", isDaemon = true) { servers.closeCallerListener() }
    }

    private fun sendLoanRequest(request: LoanRequest) {
        val lender = controller.peers().find { it.host == request.lender } ?: return
        peerSocket.send(PeerMessage(loanRequest = request), listOf(lender.ip))
    }

    private fun probeWorker(worker: WorkerEntry) =
        httpClient.probe(worker.address, PROBE_TIMEOUT_MS) { controller.onProbed(clock.nowMs(), worker, it) }

    private fun onReachChange(change: ReachChange) {
        metrics.setCutOff(change.isCutOff)
        log.warn(
            if (change.isCutOff) "cut off from all workers: requests go through peers" else "workers reached again",
            "failedWorkers" to change.failedWorkers,
            "sinceMs" to change.sinceMs,
            "peersReachingWorkers" to controller.reachingPeerCount(clock.nowMs()),
        )
        peerSynchronizer.sendReportSoon(::runAfter)
    }

    private fun onLeavingChange(change: LeavingChange) {
        metrics.countLeavingChange(change)
        log.info(
            "worker leaves: ${change.kind.wireName}",
            "worker" to change.worker?.id,
            "startedAtMs" to change.worker?.startedAtMs,
            "isDraining" to change.worker?.isDraining,
            "source" to change.source,
            "ageMs" to change.ageMs,
        )
        if (change.kind != LeavingChange.Kind.SAID) return
        change.worker?.let { httpClient.closeIdleConnections(it.address) }
        peerSynchronizer.sendReportSoon(::runAfter)
    }

    private fun onLingeringEnded(end: LingeringEnd) {
        metrics.countLingeringEnd(end)
        if (end != LingeringEnd.PEER) log.info("lingering connection closed", "reason" to end.wireName, "others" to lingeringClose.count)
    }

    private fun onPauseChange(change: PauseChange) {
        metrics.countPause()
        log.info(
            "worker wants a pause",
            "worker" to change.worker.id,
            "startedAtMs" to change.worker.startedAtMs,
            "pauseMs" to change.pauseMs,
            "statedMs" to change.statedMs,
        )
    }

    private fun onCrashEvent(event: CrashEvent) {
        metrics.countCrashEvent(event)
        when (event) {
            is CrashEvent.WorkerEnded -> {
                log.warn(
                    "worker ended while it ran a request",
                    "fingerprint" to event.fingerprint,
                    "worker" to event.worker,
                    "sign" to event.sign.wireName,
                    "crashes" to event.crashes,
                    "ageMs" to event.ageMs,
                )
                peerSynchronizer.sendReportSoon(::runAfter)
            }
            is CrashEvent.QuarantineChanged ->
                log.warn(
                    if (event.isQuarantined) "request quarantined: workers end when they run it" else "request not quarantined any more",
                    "fingerprint" to event.fingerprint,
                    "crashes" to event.crashes,
                    "source" to event.source,
                    "ageMs" to event.ageMs,
                )
        }
    }

    /** Logs when this host starts to ask another peer for changes of the store, or asks the store again. */
    private fun onReaderAnswer(
        result: SharedWatch.Result,
        reader: PeerReport,
    ) {
        metrics.countReaderAnswer(result)
        val usedReader = reader.host.takeIf { result == SharedWatch.Result.USED || result == SharedWatch.Result.EMPTY }
        if (usedReader == lastReader) return
        log.info("source of store changes", "reader" to (usedReader ?: "none"), "before" to (lastReader ?: "none"), "result" to result.name)
        lastReader = usedReader
    }

    private fun onNewStoreEra(
        before: Long?,
        era: Long,
    ) {
        metrics.setStoreEra(era)
        if (before == null) return log.info("store era", "era" to era)
        registration.onStoreRestored()
        log.warn("store came back from an older copy", "era" to era, "before" to before, "revision" to describeRevision(cache.revision))
    }

    private fun onWorkerLimitChange(change: WorkerLimitChange) {
        metrics.countWorkerLimitChange(change)
        log.info(
            "worker rate limit changed",
            "worker" to change.worker,
            "limitPerS" to (change.limitPerS ?: "none"),
            "before" to (change.beforePerS ?: "none"),
            "ownRatePerS" to change.ownRatePerS,
            "hosts" to change.hosts,
            "source" to change.source,
            "ageMs" to change.ageMs,
        )
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

        /** A worker in another region accepts or refuses a connection within a few tens of milliseconds. */
        const val PROBE_TIMEOUT_MS = 400L

        /** Fraction of the stop timeout during which new connections are still accepted. */
        const val MIN_DRAIN_FRACTION = 0.6
        const val STOP_POLL_MS = 50L
    }
}

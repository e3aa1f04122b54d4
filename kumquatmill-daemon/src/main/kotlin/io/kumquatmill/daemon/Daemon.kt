package io.kumquatmill.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.daemon.caller.CallerHandler
import io.kumquatmill.daemon.caller.CallerServer
import io.kumquatmill.daemon.caller.PendingRequests
import io.kumquatmill.daemon.caller.operatorRoutes
import io.kumquatmill.daemon.decision.DecisionLoop
import io.kumquatmill.daemon.forward.Forwarder
import io.kumquatmill.daemon.forward.LoadPoller
import io.kumquatmill.daemon.log.DecisionLog
import io.kumquatmill.daemon.metrics.DaemonMetrics
import io.kumquatmill.daemon.platform.Poller
import io.kumquatmill.daemon.platform.StoreDuty
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.platform.HttpHostListClient
import io.kumquatmill.platform.HttpStoreClient
import io.kumquatmill.settings.DaemonSettings
import io.kumquatmill.wire.PeerTransport
import java.security.SecureRandom
import java.util.HexFormat
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder
import io.kumquatmill.platform.PlatformSettings as PlatformClientSettings

private val logger = KotlinLogging.logger {}

/** One entry host: the node, and the threads that carry events to it and effects from it. */
class Daemon(
    private val settings: DaemonSettings,
    node: EntryNode = entryNode(settings),
    private val clock: MonotonicClock = MonotonicClock.system,
) : AutoCloseable {
    private val exited = CountDownLatch(1)
    private val metrics = DaemonMetrics()
    private val requestPrefix = "${settings.host.id}-${randomHex()}-"
    private val requestNumber = AtomicLong()
    private val peerDrops = LongAdder()
    private val pending = PendingRequests(settings.limits.maxRequestsInFlight, settings.limits.maxBufferedBytes)
    private val decisions = DecisionLog(settings.host.id.value)
    private val transport = PeerTransport(settings.host.peerAddress) { onPeerMessage(NodeEvent.PeerMessageReceived(it)) }
    private val storeClient = HttpStoreClient(clientSettings(settings.platform.storeAddresses), clock, metrics::called)
    private val hostListClient = HttpHostListClient(clientSettings(listOf(settings.platform.hostListAddress)), clock, metrics::called)
    private val effects = EffectRunner()
    private val loop =
        DecisionLoop(node, settings.queues.ringCapacity, settings.queues.peerRingCapacity, clock, effects::onFault, effects::run)
    private val store = StoreDuty(storeClient, loop::putResult)
    private val forwarder =
        Forwarder(
            workers = settings.topology.workers.associateBy { it.id },
            settings = settings.forward,
            maxAttempts = maxOf(1, settings.topology.workers.sumOf { it.slots }),
            maxAnswerBytes = settings.limits.maxResponseBytes,
            clock = clock,
            onEnd = { attempt, result -> loop.putResult(NodeEvent.AttemptEnded(attempt, result)) },
        )
    private val loads =
        LoadPoller(settings.topology.workers, settings.forward) { worker, report -> loop.putResult(NodeEvent.LoadReported(worker, report)) }
    private val hostList = Poller("host-list", settings.platform.hostListIntervalMs, ::readHostList)
    private val statusReader = Poller("status", STATUS_INTERVAL_MS, ::readStatus)
    private val callers = CallerHandler(settings.limits, pending, clock, ::nextRequestId, loop::offerRequest, loop::offerResult)
    private val server =
        CallerServer(
            address = settings.host.callerAddress,
            limits = settings.limits,
            operatorRoutes = operatorRoutes(loop, clock, if (settings.metrics.isEnabled) metrics::text else null),
            callers = callers,
        )

    /** Starts all threads and listens. */
    fun start() {
        watchRings()
        transport.start()
        loop.start()
        loads.start()
        hostList.start()
        statusReader.start()
        server.start()
        logger.info { "entry host ${settings.host.id} listens on ${settings.host.callerAddress}, peers on ${settings.host.peerAddress}" }
    }

    /** Leaves the fleet, ends all requests and returns whether that was done in time. */
    fun stop(): Boolean {
        val giveUpAtMs = clock.nowMs() + settings.limits.stopTimeoutMs
        loop.putResult(NodeEvent.StopRequested)
        val hasExited = exited.await(settings.limits.stopTimeoutMs, TimeUnit.MILLISECONDS)
        val isDone = hasExited && awaitAnswersSent(giveUpAtMs)
        if (!isDone) logger.error { "the node had not stopped after ${settings.limits.stopTimeoutMs} ms; requests may be cut" }
        close()
        return isDone
    }

    private fun awaitAnswersSent(giveUpAtMs: Long): Boolean {
        while (callers.unfinishedExchanges > 0 && clock.nowMs() < giveUpAtMs) Thread.sleep(STOP_POLL_MS)
        return callers.unfinishedExchanges == 0
    }

    override fun close() {
        server.close()
        listOf(
            loads,
            hostList,
            statusReader,
            forwarder,
            store,
            transport,
            loop,
            decisions,
            storeClient,
            hostListClient,
        ).forEach { it.close() }
    }

    private fun nextRequestId() = RequestId(requestPrefix + requestNumber.incrementAndGet())

    private fun onPeerMessage(event: NodeEvent) {
        if (!loop.offerPeerMessage(event)) peerDrops.increment()
    }

    private fun readHostList() {
        hostListClient.read().fold(
            { logger.debug { "the host list was not read: ${it.message}" } },
            { loop.putResult(NodeEvent.HostListRead(it)) },
        )
    }

    private fun readStatus() {
        loop.ask { node, nowMs -> node.status(nowMs) }?.thenAccept(metrics::show)
    }

    private fun watchRings() {
        metrics.watchPeers(transport.counters)
        loop.depths.keys.forEach { ring -> metrics.watchRing(ring) { loop.depths.getValue(ring) } }
        store.depths.keys.forEach { ring -> metrics.watchRing(ring) { store.depths.getValue(ring) } }
        metrics.watchRing("log") { decisions.depth }
        metrics.watchRing("peer-sends") { transport.queuedMessages }
        metrics.watchRing("pending-requests") { pending.size }
        metrics.watchDrops("log") { decisions.dropped }
        metrics.watchDrops("peers") { peerDrops.sum() }
        metrics.watchDrops("store") { store.refused }
        metrics.watchDrops("forward") { forwarder.refused }
    }

    private fun clientSettings(addresses: List<HostAddress>) =
        PlatformClientSettings(addresses = addresses, callTimeoutMs = settings.platform.storeTimeoutMs)

    /** Carries out the node's effects; runs on the decision thread and never waits. */
    private inner class EffectRunner {
        fun run(effect: NodeEffect) {
            when (effect) {
                is NodeEffect.Forward -> forwarder.forward(effect, pending[effect.request])
                is NodeEffect.CancelAttempt -> forwarder.cancel(effect.attempt)
                is NodeEffect.RelayResponse -> answers.relay(effect)
                is NodeEffect.Refuse -> answers.refuse(effect)
                is NodeEffect.SendToPeer -> transport.send(effect.address, effect.envelope)
                is NodeEffect.CallStore -> store.execute(effect)
                is NodeEffect.LogDecision -> log(effect)
                is NodeEffect.Exit -> exited.countDown()
            }
        }

        /** Answers the caller of a request that the node failed on; it did not run. */
        fun onFault(event: NodeEvent) {
            if (event is NodeEvent.RequestArrived) answers.refuse(NodeEffect.Refuse(event.request, Answers.internalFault))
        }

        private fun log(effect: NodeEffect.LogDecision) {
            metrics.count(effect.decision)
            if (settings.logs.isDecisionLogEnabled) decisions.write(effect.decision)
        }
    }

    private val answers = Answers(pending, clock, metrics)

    private companion object {
        const val STATUS_INTERVAL_MS = 1_000L
        const val STOP_POLL_MS = 5L
        const val RANDOM_BYTES = 6

        fun randomHex(): String = HexFormat.of().formatHex(ByteArray(RANDOM_BYTES).also { SecureRandom().nextBytes(it) })
    }
}

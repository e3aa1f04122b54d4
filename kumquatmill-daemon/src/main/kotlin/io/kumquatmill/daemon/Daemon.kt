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
import io.kumquatmill.daemon.platform.StoreCallExecutor
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.platform.HttpHostListClient
import io.kumquatmill.platform.HttpStoreClient
import io.kumquatmill.platform.PlatformClientSettings
import io.kumquatmill.settings.DaemonSettings
import io.kumquatmill.wire.PeerTransport
import java.security.SecureRandom
import java.util.HexFormat
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

private val logger = KotlinLogging.logger {}

/** An entry host: the node, and the threads that deliver events to it and execute its effects. */
class Daemon(
    private val settings: DaemonSettings,
    node: EntryNode = entryNode(settings),
    private val clock: MonotonicClock = MonotonicClock.system,
) : AutoCloseable {
    private val nodeExited = CountDownLatch(1)
    private val metrics = DaemonMetrics()
    private val requestIdPrefix = "${settings.host.id}-${randomHex()}-"
    private val lastRequestNumber = AtomicLong()
    private val droppedPeerMessages = LongAdder()
    private val pendingRequests = PendingRequests(settings.limits.maxRequestsInFlight, settings.limits.maxBufferedBytes)
    private val decisionLog = DecisionLog(settings.host.id.value)
    private val transport = PeerTransport(settings.host.peerAddress) { onPeerMessage(NodeEvent.PeerMessageReceived(it)) }
    private val storeClient = HttpStoreClient(platformClientSettings(settings.platform.storeAddresses), clock, metrics::recordPlatformCall)
    private val hostListClient =
        HttpHostListClient(platformClientSettings(listOf(settings.platform.hostListAddress)), clock, metrics::recordPlatformCall)
    private val effectHandler = EffectHandler()
    private val loop =
        DecisionLoop(
            node,
            settings.queues.ringCapacity,
            settings.queues.peerRingCapacity,
            clock,
            effectHandler::onEventFailure,
            effectHandler::handle,
        )
    private val storeCalls = StoreCallExecutor(storeClient, loop::putResult)
    private val forwarder =
        Forwarder(
            workers = settings.topology.workers.associateBy { it.id },
            settings = settings.forward,
            maxConcurrentAttempts = maxOf(1, settings.topology.workers.sumOf { it.slots }),
            maxResponseBytes = settings.limits.maxResponseBytes,
            clock = clock,
            onAttemptEnded = { attempt, result -> loop.putResult(NodeEvent.AttemptEnded(attempt, result)) },
        )
    private val loadPoller =
        LoadPoller(settings.topology.workers, settings.forward) { worker, report -> loop.putResult(NodeEvent.LoadReported(worker, report)) }
    private val hostListPoller = Poller("host-list", settings.platform.hostListIntervalMs, ::pollHostList)
    private val statusPoller = Poller("status", STATUS_POLL_INTERVAL_MS, ::pollStatus)
    private val callerHandler =
        CallerHandler(settings.limits, pendingRequests, clock, ::nextRequestId, loop::offerRequest, loop::offerResult)
    private val server =
        CallerServer(
            address = settings.host.callerAddress,
            limits = settings.limits,
            operatorRoutes = operatorRoutes(loop, clock, if (settings.metrics.isEnabled) metrics::scrape else null),
            callerHandler = callerHandler,
        )

    /** Starts all threads and listens on the caller and peer addresses; throws if an address cannot be bound. */
    fun start() {
        registerMetrics()
        transport.start()
        loop.start()
        loadPoller.start()
        hostListPoller.start()
        statusPoller.start()
        server.start()
        logger.info {
            "entry host ${settings.host.id} is listening on ${settings.host.callerAddress}, for peers on ${settings.host.peerAddress}"
        }
    }

    /**
     * Leaves the fleet, completes all requests and closes the daemon.
     *
     * Returns false if that took longer than the configured stop timeout; open requests are then interrupted.
     */
    fun stop(): Boolean {
        val deadlineAtMs = clock.nowMs() + settings.limits.stopTimeoutMs
        callerHandler.isStopping = true
        loop.putResult(NodeEvent.StopRequested)
        val hasNodeExited = nodeExited.await(settings.limits.stopTimeoutMs, TimeUnit.MILLISECONDS)
        val isStopped = hasNodeExited && awaitResponsesDelivered(deadlineAtMs)
        if (!isStopped) logger.error { "the node did not stop within ${settings.limits.stopTimeoutMs} ms; requests may be interrupted" }
        close()
        return isStopped
    }

    /** Waits until all responses are sent, and read by callers that have closed their connections; returns whether all are sent. */
    private fun awaitResponsesDelivered(deadlineAtMs: Long): Boolean {
        var idlePolls = 0
        // The end of an exchange and the wait for its caller are two steps of another thread.
        while (idlePolls < 2 && clock.nowMs() < deadlineAtMs) {
            val isIdle = callerHandler.activeExchangeCount == 0 && server.lingeringCount == 0
            idlePolls = if (isIdle) idlePolls + 1 else 0
            Thread.sleep(STOP_POLL_INTERVAL_MS)
        }
        return callerHandler.activeExchangeCount == 0
    }

    override fun close() {
        server.close()
        listOf(
            loadPoller,
            hostListPoller,
            statusPoller,
            forwarder,
            storeCalls,
            transport,
            loop,
            decisionLog,
            storeClient,
            hostListClient,
        ).forEach { it.close() }
    }

    private fun nextRequestId() = RequestId(requestIdPrefix + lastRequestNumber.incrementAndGet())

    private fun onPeerMessage(event: NodeEvent) {
        if (!loop.offerPeerMessage(event)) droppedPeerMessages.increment()
    }

    private fun pollHostList() {
        hostListClient.read().fold(
            { logger.debug { "failed to read the host list: ${it.message}" } },
            { loop.putResult(NodeEvent.HostListRead(it)) },
        )
    }

    private fun pollStatus() {
        loop.query { node, nowMs -> node.status(nowMs) }?.thenAccept(metrics::updateStatus)
    }

    private fun registerMetrics() {
        metrics.registerPeerTransport(transport.counters)
        loop.queueDepths.keys.forEach { queue -> metrics.registerQueueDepth(queue) { loop.queueDepths.getValue(queue) } }
        storeCalls.queueDepths.keys.forEach { queue -> metrics.registerQueueDepth(queue) { storeCalls.queueDepths.getValue(queue) } }
        metrics.registerQueueDepth("log") { decisionLog.queuedLines }
        metrics.registerQueueDepth("peer-sends") { transport.queuedMessages }
        metrics.registerQueueDepth("pending-requests") { pendingRequests.size }
        metrics.registerQueueDepth("lingering-connections") { server.lingeringCount }
        metrics.registerDropCount("log") { decisionLog.droppedLines }
        metrics.registerDropCount("peers") { droppedPeerMessages.sum() }
        metrics.registerDropCount("store") { storeCalls.rejectedCalls }
        metrics.registerDropCount("forward") { forwarder.rejectedAttempts }
    }

    private fun platformClientSettings(addresses: List<HostAddress>) =
        PlatformClientSettings(addresses = addresses, callTimeoutMs = settings.platform.storeTimeoutMs)

    /** Executes the node's effects on the decision thread, without blocking. */
    private inner class EffectHandler {
        fun handle(effect: NodeEffect) {
            when (effect) {
                is NodeEffect.Forward -> forwarder.forward(effect, pendingRequests[effect.request])
                is NodeEffect.CancelAttempt -> forwarder.cancel(effect.attempt)
                is NodeEffect.RelayResponse -> responder.relay(effect)
                is NodeEffect.Refuse -> responder.refuse(effect)
                is NodeEffect.SendToPeer -> transport.send(effect.address, effect.envelope)
                is NodeEffect.CallStore -> storeCalls.execute(effect)
                is NodeEffect.LogDecision -> logDecision(effect)
                is NodeEffect.Exit -> nodeExited.countDown()
            }
        }

        /** Refuses the request of [event] as not run if the node threw while handling its arrival. */
        fun onEventFailure(event: NodeEvent) {
            if (event is NodeEvent.RequestArrived) responder.refuse(NodeEffect.Refuse(event.request, CallerResponder.internalFaultOutcome))
        }

        private fun logDecision(effect: NodeEffect.LogDecision) {
            metrics.countDecision(effect.decision)
            if (settings.logs.isDecisionLogEnabled) decisionLog.write(effect.decision)
        }
    }

    private val responder = CallerResponder(pendingRequests, clock, metrics)

    private companion object {
        const val STATUS_POLL_INTERVAL_MS = 1_000L
        const val STOP_POLL_INTERVAL_MS = 5L
        const val REQUEST_ID_RANDOM_BYTES = 6

        fun randomHex(): String = HexFormat.of().formatHex(ByteArray(REQUEST_ID_RANDOM_BYTES).also { SecureRandom().nextBytes(it) })
    }
}

package io.kumquatmill.gateway

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.caller.LoanWaiters
import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.gateway.http.EventLoopHttpClient
import io.kumquatmill.gateway.http.HttpCall
import io.kumquatmill.gateway.log.EventLog
import io.kumquatmill.gateway.peer.PeerMessage
import io.kumquatmill.gateway.peer.PeerSocket
import io.kumquatmill.gateway.peer.PeerState
import io.kumquatmill.gateway.settings.GatewaySettings
import io.kumquatmill.gateway.store.RunAfter
import io.kumquatmill.gateway.store.StateCache
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.PeerReport
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Exchanges state with the other hosts: sends a report every few hundred milliseconds, and fetches the store entries of a peer
 * that has a newer revision or version: a host that starts while a restored store has an older version does not get the newer one there.
 *
 * A host whose store calls are rejected still learns of changes this way, within about a second.
 */
internal class PeerSynchronizer(
    private val settings: GatewaySettings,
    private val controller: TrafficController,
    private val cache: StateCache,
    private val stateUpdater: StateUpdater,
    private val httpClient: EventLoopHttpClient,
    private val socket: PeerSocket,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val watchedPrefixes: List<String>,
    private val loanWaiters: LoanWaiters,
    private val isServing: () -> Boolean,
) {
    private val incarnation = System.currentTimeMillis()
    private var sequence = 0L
    private val lag = RevisionLag { controller.changeBatchMs() + CHANGE_LATENCY_MS }
    private val versionLag = RevisionLag { controller.changeBatchMs() + CHANGE_LATENCY_MS }
    private val incarnationByPeer = HashMap<String, Long>()
    private var isFetching = false
    private var nextSeedIndex = 0
    private var lastStalePeers = emptyList<String>()
    private var wasIsolated = false
    private var contactLoggedAtMs: Long? = null
    private var isReportScheduled = false

    /** Sends the first report and repeats at the report interval; [runAfter] schedules the next round on the event loop. */
    fun start(runAfter: RunAfter) {
        // Scheduled first: an unexpected error in one round must not end the reports.
        runAfter(controller.reportIntervalMs()) { start(runAfter) }
        sendReport()
        catchUp()
    }

    /** Sends the state of this host to all known peers, or to the configured seeds while no peer is known. */
    fun sendReport() {
        val peers = controller.peers()
        val report = createReport()
        if (peers.isEmpty()) send(report, settings.seeds.map { it.ip }) else sendReport(report, peers)
    }

    /** Sends a report before the next one is due, so that peers learn of an event at once; further calls are collected for a while. */
    fun sendReportSoon(runAfter: RunAfter) {
        if (isReportScheduled) return
        isReportScheduled = true
        runAfter(URGENT_REPORT_DELAY_MS) {
            isReportScheduled = false
            sendReport()
        }
    }

    private fun sendReport(
        report: PeerReport,
        peers: List<EntryHostInfo>,
    ) {
        if (report.workerLoads.isEmpty()) return sendByDemand(report, peers)
        // Loads of workers concern the hosts of their region only.
        val (near, far) = peers.partition { it.region == report.region }
        sendByDemand(report, near)
        sendByDemand(report.copy(workerLoads = emptyMap()), far)
    }

    private fun sendByDemand(
        report: PeerReport,
        peers: List<EntryHostInfo>,
    ) = controller.demandByPeer(peers, report.demandPerS).forEach { (demandPerS, receivers) ->
        send(report.copy(demandPerS = demandPerS), receivers.map { it.ip })
    }

    private fun send(
        report: PeerReport,
        ips: List<String>,
    ) = socket.send(PeerMessage(report = report), ips.filterNot { it == settings.self.ip })

    private fun createReport(): PeerReport {
        val self = settings.self
        val nowMs = clock.nowMs()
        val report =
            PeerReport(
                host = self.host,
                incarnation = incarnation,
                sequence = ++sequence,
                ip = self.ip,
                region = self.region,
                availabilityZone = self.availabilityZone,
                storeRevision = cache.revision,
                isServing = isServing(),
                version = controller.version,
                demandPerS = controller.demandPerS(nowMs),
                sharesPerMille = controller.sharesPerMille(),
                workerLimits = controller.workerLimits(nowMs),
                crashes = controller.crashReport(nowMs),
                leavingWorkers = controller.leavingWorkers(nowMs),
                stalePeers = controller.stalePeers(nowMs),
                workerReachAgeMs = controller.workerReachAgeMs(nowMs),
                isCutOff = controller.isCutOff,
                cores = self.cores,
                linkMbps = self.linkMbps,
                memoryMb = self.memoryMb,
                workerLoads = controller.workerLoads(nowMs),
            )
        logContactChange(nowMs, report.stalePeers, controller.isIsolated(nowMs))
        return report
    }

    private fun logContactChange(
        nowMs: Long,
        stalePeers: List<String>,
        isIsolated: Boolean,
    ) {
        if (stalePeers == lastStalePeers && isIsolated == wasIsolated) return
        val isSoon = contactLoggedAtMs?.let { nowMs - it < CONTACT_LOG_INTERVAL_MS } ?: false
        if (isSoon && isIsolated == wasIsolated) return
        contactLoggedAtMs = nowMs
        lastStalePeers = stalePeers
        wasIsolated = isIsolated
        log.info("peer connectivity changed", "peers" to controller.peers().size, "notHeard" to stalePeers, "isIsolated" to isIsolated)
    }

    /** Handles a [message] received from a peer. */
    fun onMessage(message: PeerMessage) {
        val nowMs = clock.nowMs()
        message.report?.let { onReport(nowMs, it) }
        message.loanRequest?.let { request ->
            controller.lend(nowMs, request)?.let { socket.send(PeerMessage(grant = it), listOf(request.ip)) }
        }
        message.grant?.let {
            controller.onLoan(nowMs, it)
            loanWaiters.onGrant(it)
        }
    }

    /**
     * Applies the [report] of a peer. A peer that has just started gets this host's report at once: until it knows the state of most
     * hosts, it uses next to nothing of any rate limit.
     */
    private fun onReport(
        nowMs: Long,
        report: PeerReport,
    ) {
        val isApplied = controller.onReport(nowMs, report)
        if (!isApplied || incarnationByPeer.put(report.host, report.incarnation) == report.incarnation) return
        sendReport(createReport(), listOf(report.sender))
    }

    /** Fetches the entries of a peer when this host lags behind it, or of a seed when it is not ready and the store is unavailable. */
    private fun catchUp() {
        if (isFetching) return
        val nowMs = clock.nowMs()
        val livePeers = controller.livePeers(nowMs)
        val newestPeer = livePeers.maxByOrNull { it.storeRevision }
        val isLagging = lag.isLagging(nowMs, cache.revision, newestPeer?.storeRevision ?: 0)
        val newestVersionPeer = livePeers.maxByOrNull { it.version ?: 0 }
        val isVersionLagging = versionLag.isLagging(nowMs, controller.version ?: 0, newestVersionPeer?.version ?: 0)
        when {
            isLagging && newestPeer != null -> fetchState(newestPeer)
            isVersionLagging && newestVersionPeer != null -> fetchState(newestVersionPeer)
            !controller.isReady && stateUpdater.isStoreUnavailable && settings.seeds.isNotEmpty() -> {
                val seed = settings.seeds[nextSeedIndex++ % settings.seeds.size]
                if (seed.ip != settings.self.ip) fetchState(seed, seed.toString())
            }
        }
    }

    private fun fetchState(peer: PeerReport) = fetchState(HostAddress(peer.ip, settings.peerStateAddress.port), peer.host)

    private fun fetchState(
        address: HostAddress,
        peerName: String,
    ) {
        isFetching = true
        val call =
            HttpCall(
                address = address,
                method = "GET",
                target = STATE_PATH,
                headers = listOf("Host" to address.toString()),
                // A kept connection may have gone silent since the last fetch.
                maxConnectionIdleMs = 0,
                maxIdleConnections = 0,
                connectTimeoutMs = FETCH_TIMEOUT_MS,
                timeoutMs = FETCH_TIMEOUT_MS,
            )
        httpClient.send(call) { result ->
            isFetching = false
            when (result) {
                is CallResult.Response -> applyResponse(peerName, result)
                is CallResult.NotSent ->
                    log.warn("cannot connect to peer to fetch its state", "peer" to peerName, "detail" to result.detail)
                is CallResult.Incomplete ->
                    log.warn("no complete response from peer when fetching its state", "peer" to peerName, "detail" to result.detail)
            }
        }
    }

    private fun applyResponse(
        peerName: String,
        response: CallResult.Response,
    ) {
        try {
            val state = json.decodeFromString(PeerState.serializer(), String(response.body))
            if (response.status != OK) return
            if (state.revision > cache.revision) {
                stateUpdater.onPeerState(peerName, watchedPrefixes, state.entries, state.revision)
            } else {
                stateUpdater.onPeerDesiredState(peerName, state.entries)
            }
        } catch (e: SerializationException) {
            log.warn("cannot decode state fetched from peer", "peer" to peerName, "detail" to e.message)
        }
    }

    companion object {
        /** Path at which a host serves its store entries to peers. */
        const val STATE_PATH = "/peer/state"

        /** Time in which the store delivers a change. Hosts that lag for longer than this and a batch may be rejected by the store. */
        private const val CHANGE_LATENCY_MS = 100L
        private const val FETCH_TIMEOUT_MS = 700L

        /** While 98 hosts start, the peers that were heard change with nearly every report; each host wrote 80 lines in 8 s. */
        private const val CONTACT_LOG_INTERVAL_MS = 2_000L

        /** Workers that end together are told in one report, and a host sends few reports even if workers end all the time. */
        private const val URGENT_REPORT_DELAY_MS = 100L
        private const val OK = 200
        private val json = Json { ignoreUnknownKeys = true }
    }
}

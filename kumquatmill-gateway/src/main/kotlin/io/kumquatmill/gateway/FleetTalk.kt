package io.kumquatmill.gateway

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.http.CallEnd
import io.kumquatmill.gateway.http.HttpCall
import io.kumquatmill.gateway.http.LoopClient
import io.kumquatmill.gateway.log.EventLog
import io.kumquatmill.gateway.peer.PeerMessage
import io.kumquatmill.gateway.peer.PeerSocket
import io.kumquatmill.gateway.peer.PeerState
import io.kumquatmill.gateway.settings.GatewaySettings
import io.kumquatmill.gateway.store.RunAfter
import io.kumquatmill.gateway.store.StateCache
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.fleet.PeerReport
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Talks with the other hosts: reports every few hundred milliseconds, and asks for entries when a peer knows newer ones.
 *
 * A host that the store turns away learns of changes this way within about a second.
 */
internal class FleetTalk(
    private val settings: GatewaySettings,
    private val desk: TrafficController,
    private val cache: StateCache,
    private val belief: HostBelief,
    private val client: LoopClient,
    private val socket: PeerSocket,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val followedPrefixes: List<String>,
    private val isServing: () -> Boolean,
) {
    private val incarnation = System.currentTimeMillis()
    private var sequence = 0L
    private var behindSinceMs: Long? = null
    private var isAsking = false
    private var nextSeed = 0
    private var lastNotHeard = emptyList<String>()
    private var wasIsolated = false

    fun start(runAfter: RunAfter) {
        report()
        catchUp()
        runAfter(desk.reportIntervalMs()) { start(runAfter) }
    }

    /** Tells all peers, and the seeds as long as there are none, how this host stands. */
    fun report() {
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
                viewRevision = cache.revision,
                isServing = isServing(),
                demandPerS = desk.demandPerS(nowMs),
                sharesPerMille = desk.sharesPerMille(),
                stalePeers = desk.stalePeers(nowMs),
            )
        noteContact(report.stalePeers, desk.isIsolated(nowMs))
        val ips = desk.peers().map { it.ip }.ifEmpty { settings.seeds.map { it.ip } }
        socket.send(PeerMessage(report = report), ips.filterNot { it == self.ip })
    }

    private fun noteContact(
        notHeard: List<String>,
        isIsolated: Boolean,
    ) {
        if (notHeard == lastNotHeard && isIsolated == wasIsolated) return
        lastNotHeard = notHeard
        wasIsolated = isIsolated
        log.note("contact to peers changed", "peers" to desk.peers().size, "notHeard" to notHeard, "isIsolated" to isIsolated)
    }

    /** Takes a message of a peer. */
    fun onMessage(message: PeerMessage) {
        val nowMs = clock.nowMs()
        message.report?.let { desk.onReport(nowMs, it) }
        message.ask?.let { ask -> desk.lend(nowMs, ask)?.let { socket.send(PeerMessage(grant = it), listOf(ask.ip)) } }
        message.grant?.let { desk.onLoan(nowMs, it) }
    }

    /** Asks a peer for its entries when this host stays behind it, or a seed when this host knows nothing. */
    private fun catchUp() {
        if (isAsking) return
        val nowMs = clock.nowMs()
        val ahead = desk.livePeers(nowMs).filter { it.viewRevision > cache.revision }
        if (ahead.isEmpty()) behindSinceMs = null
        val sinceMs = behindSinceMs ?: nowMs.also { if (ahead.isNotEmpty()) behindSinceMs = it }
        when {
            ahead.isNotEmpty() && nowMs - sinceMs >= BEHIND_MS -> {
                val peer = ahead.maxBy { it.viewRevision }
                ask(HostAddress(peer.ip, settings.peerCalls.port), peer.host)
            }
            !desk.isReady && belief.isStoreAway && settings.seeds.isNotEmpty() -> {
                val seed = settings.seeds[nextSeed++ % settings.seeds.size]
                if (seed.ip != settings.self.ip) ask(seed, seed.toString())
            }
        }
    }

    private fun ask(
        address: HostAddress,
        name: String,
    ) {
        isAsking = true
        val call =
            HttpCall(
                address = address,
                method = "GET",
                target = STATE_PATH,
                headers = listOf("Host" to address.toString()),
                connectTimeoutMs = ASK_TIMEOUT_MS,
                timeoutMs = ASK_TIMEOUT_MS,
            )
        client.send(call) { end ->
            isAsking = false
            when (end) {
                is CallEnd.Answered -> take(name, end)
                is CallEnd.NotSent -> log.warn("peer not reached", "peer" to name, "detail" to end.detail)
                is CallEnd.Broken -> log.warn("peer gave no answer", "peer" to name, "detail" to end.detail)
            }
        }
    }

    private fun take(
        name: String,
        answer: CallEnd.Answered,
    ) {
        try {
            val state = json.decodeFromString(PeerState.serializer(), String(answer.body))
            if (answer.status == OK && state.revision > cache.revision) {
                belief.onPeerState(name, followedPrefixes, state.entries, state.revision)
            }
        } catch (e: SerializationException) {
            log.warn("answer of a peer not readable", "peer" to name, "detail" to e.message)
        }
    }

    companion object {
        /** Path at which hosts give each other their entries. */
        const val STATE_PATH = "/peer/state"

        /** The store's own word takes a few tens of milliseconds; who is behind for longer may be turned away by it. */
        private const val BEHIND_MS = 400L
        private const val ASK_TIMEOUT_MS = 700L
        private const val OK = 200
        private val json = Json { ignoreUnknownKeys = true }
    }
}

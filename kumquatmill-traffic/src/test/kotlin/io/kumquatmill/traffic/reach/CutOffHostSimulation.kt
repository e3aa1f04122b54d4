package io.kumquatmill.traffic.reach

import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.crash.ProbeResult
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetSimulation
import io.kumquatmill.traffic.fleet.HostFault
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.route
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker

/** How connections between a host and workers fail. */
internal enum class CutMode { HANG, REFUSE, LIVE_ON }

/** Which hosts are cut off from all workers. */
internal enum class CutScope { HOST, ZONE, REGION }

/**
 * Simulates a fleet of which one host, a zone or a region of hosts is cut off from all workers for a while, beside faults of hosts. Callers
 * send requests to all hosts alike.
 *
 * @param timeoutMs time limit of the requests
 * @param areWorkersDown whether no worker takes connections during the cut, from whichever host
 */
internal class CutOffHostSimulation(
    hostCount: Int,
    faults: Set<HostFault>,
    seed: Long,
    private val scope: CutScope,
    private val mode: CutMode,
    private val reachSettings: ReachSettings = ReachSettings(),
    private val areWorkersDown: Boolean = false,
    private val requestsPerS: Int = hostCount * 20,
    private val timeoutMs: Long = 2_000,
) : FleetSimulation(hostCount, faults, seed, faultsFromMs = CUT_FROM_MS - 1_000, durationMs = DURATION_MS) {
    private class Pending(
        val host: Host,
        val request: TrafficRequest,
        val tally: Tally?,
    ) {
        var isFinished = false
    }

    /** Requests of hosts in touch: number sent, and number served. */
    class Tally {
        var sent = 0
        var served = 0
    }

    private val workers = (1..WORKERS).map { worker("w$it", zone = zones[it % zones.size], slots = SLOTS + hostCount) }
    private val outOfTouchUntilMs = HashMap<String, Long>()
    private val cutHosts = HashSet<String>()

    /** Requests at hosts that were cut off for long enough, at the others during this time, and at hosts whose cut has ended. */
    val cut = Tally()
    val others = Tally()
    val after = Tally()

    /** Number of times that hosts considered themselves cut off, and that a worker got a request twice. */
    var verdicts = 0
    var repeated = 0
    private val arrived = HashSet<TrafficRequest>()

    /** Largest number of directory responses that named a host that was cut off for long enough. */
    var namedInDirectory = 0

    /** Requests of hosts that were cut off for long enough by how they ended, for messages. */
    val cutOutcomes = HashMap<String, Int>()

    fun run(): CutOffHostSimulation =
        apply {
            val first = infos[random.nextInt(hostCount)]
            cutHosts +=
                infos
                    .filter {
                        when (scope) {
                            CutScope.HOST -> it === first
                            CutScope.ZONE -> it.availabilityZone == first.availabilityZone
                            CutScope.REGION -> it.region == first.region
                        }
                    }.map { it.host }
            runAll()
        }

    /** Returns whether callers of the hosts that were cut off were served too badly, as the platform states it. */
    fun isServedBadly(): Boolean {
        val failed = cut.sent - cut.served
        return failed > 10 + cut.sent / 50 && cut.served * 3L * others.sent < cut.sent * 2L * others.served
    }

    private fun isCut(host: Host) = host.info.host in cutHosts && nowMs in CUT_FROM_MS until CUT_UNTIL_MS

    private fun areWorkersGone() = areWorkersDown && nowMs in CUT_FROM_MS until CUT_UNTIL_MS

    override fun createController(info: EntryHostInfo): TrafficController {
        lateinit var controller: TrafficController

        fun self(): Host? = hosts.find { it.controller === controller }
        controller =
            TrafficController(
                info,
                settings().copy(reach = reachSettings),
                probeWorker = { worker -> self()?.let { probe(it, worker) } },
                onReachChange = { change ->
                    if (change.isCutOff) verdicts++
                    self()?.let { host -> after(URGENT_REPORT_DELAY_MS) { ifRunning(host) { sendReport(host) } } }
                },
                random = random,
            )
        controller.updateHosts(nowMs, infos)
        controller.update(
            nowMs,
            steeringState(workers, desiredState(routes = listOf(route(timeoutMs = timeoutMs)), maxConnections = MAX_CONNECTIONS)),
        )
        return controller
    }

    override fun step() {
        if (random.nextDouble() < requestsPerS / 1_000.0) hosts.random(random).let { host -> ifRunning(host) { request(host) } }
        hosts.filter { nowMs < it.cutUntilMs || nowMs < it.frozenUntilMs }.forEach { outOfTouchUntilMs[it.info.host] = nowMs + STABLE_MS }
        if (nowMs == CUT_UNTIL_MS - 1) checkDirectory()
    }

    override fun complete(
        report: PeerReport,
        host: Host,
    ) = report.copy(
        workerReachAgeMs = host.controller.workerReachAgeMs(timeOf(host)),
        isCutOff = host.controller.isCutOff,
    )

    override fun onRestarted(host: Host) {
        outOfTouchUntilMs[host.info.host] = nowMs + STABLE_MS
    }

    private fun isInTouch(host: Host) = nowMs >= (outOfTouchUntilMs[host.info.host] ?: 0)

    private fun checkDirectory() =
        hosts.filter { isInTouch(it) && it.info.host !in cutHosts }.forEach { host ->
            val named = host.controller.servingHosts(timeOf(host), host.info.region, isServing = true)
            if (named.any { it.host in cutHosts && isInTouch(hosts.first { other -> other.info.host == it.host }) }) namedInDirectory++
        }

    private fun request(host: Host) {
        val resolved = host.controller.resolve("shop.example", "/lookup/1", "key-alpha") as RouteResolution.Resolved
        val isLong = nowMs >= CUT_FROM_MS + STABLE_MS && nowMs < CUT_UNTIL_MS - timeoutMs
        val canBePassedOn = host.info.host !in cutHosts || nowMs >= CUT_UNTIL_MS || hosts.any { it.info.host !in cutHosts && isInTouch(it) }
        val isCounted = canBePassedOn && isInTouch(host) && (isLong || nowMs >= CUT_UNTIL_MS + BACK_MS) && nowMs < DURATION_MS - timeoutMs
        val key = "k${random.nextInt(KEYS)}"
        val (request, action) =
            host.controller.begin(timeOf(host), resolved, key, "r${eventCount++}", deadlineMs = timeoutMs, fingerprint = anyFingerprint)
        val tally = if (isCounted) tally(host) else null
        if (request == null) {
            tally?.run { sent++ }
            return
        }
        val pending = Pending(host, request, tally)
        after(timeoutMs) {
            if (!pending.isFinished) {
                finish(pending, "timed out")
                ifRunning(host) { host.controller.abandon(timeOf(host), request, isWorkerSlow = true) }
            }
        }
        perform(pending, action)
    }

    private fun tally(host: Host) =
        when {
            nowMs >= CUT_UNTIL_MS -> after
            host.info.host in cutHosts -> cut
            else -> others
        }

    private fun perform(
        pending: Pending,
        action: RequestAction,
    ) {
        when (action) {
            is RequestAction.Send -> if (action.relay == null) sendDirectly(pending, action) else sendThrough(pending, action)
            is RequestAction.Deliver -> finish(pending, SERVED)
            else -> finish(pending, action.toString())
        }
    }

    /** Counts how a request ended, unless its host was frozen or restarted in the meantime. */
    private fun finish(
        pending: Pending,
        outcome: String,
    ) {
        pending.isFinished = true
        val tally = pending.tally ?: return
        if (!isInTouch(pending.host)) return
        tally.sent++
        if (outcome == SERVED) tally.served++
        if (tally === cut) cutOutcomes.merge(outcome, 1, Int::plus)
    }

    private fun sendDirectly(
        pending: Pending,
        action: RequestAction.Send,
    ) {
        val host = pending.host
        val worker = action.worker.entry
        val isKept = random.nextBoolean()
        val isBlocked = isCut(host) && !(mode == CutMode.LIVE_ON && isKept)
        when {
            areWorkersGone() -> reply(pending, 2 * LATENCY_MS, AttemptResult.Unreachable("refused", isRefused = true))
            isBlocked && mode == CutMode.HANG ->
                // A kept connection hangs until the time limit of the request.
                if (!isKept) reply(pending, CONNECT_TIMEOUT_MS, AttemptResult.Unreachable("no connection"))
            isBlocked -> reply(pending, 2 * LATENCY_MS, AttemptResult.Unreachable("refused", isRefused = true))
            else -> {
                arrive(pending)
                val tookMs = 2 * LATENCY_MS + serviceMs()
                after(tookMs) { ifRunning(host) { host.controller.onResponse(timeOf(host), worker.id, isReused = isKept) } }
                reply(pending, tookMs, AttemptResult.Answered(OK, null))
            }
        }
    }

    private fun sendThrough(
        pending: Pending,
        action: RequestAction.Send,
    ) {
        val relay = hosts.first { it.info.host == action.relay?.host }
        val worker = action.worker.entry
        val isUnreachable = nowMs < relay.cutUntilMs || nowMs < pending.host.cutUntilMs
        if (isUnreachable) return reply(pending, CONNECT_TIMEOUT_MS, AttemptResult.RelayFailed("no connection"))
        after(LATENCY_MS) {
            if (hosts.none { it === relay }) {
                reply(pending, LATENCY_MS, AttemptResult.RelayFailed("refused"))
            } else {
                ifRunning(relay) { passOn(pending, relay, worker) }
            }
        }
    }

    private fun passOn(
        pending: Pending,
        relay: Host,
        worker: WorkerEntry,
    ) {
        if (relay.controller.isCutOff || relay.controller.relayTarget(worker.id) == null) {
            return reply(pending, LATENCY_MS, AttemptResult.RelayFailed("refused"))
        }
        if (isCut(relay) || areWorkersGone()) return reply(pending, CONNECT_TIMEOUT_MS, AttemptResult.Unreachable("no connection"))
        arrive(pending)
        after(2 * LATENCY_MS + serviceMs()) {
            val isLost = hosts.none { it === relay }
            reply(pending, LATENCY_MS, if (isLost) AttemptResult.Unknown("peer lost") else AttemptResult.Answered(OK, null))
        }
    }

    private fun arrive(pending: Pending) {
        if (!arrived.add(pending.request)) repeated++
    }

    private fun reply(
        pending: Pending,
        delayMs: Long,
        result: AttemptResult,
    ) = after(delayMs) {
        ifRunning(pending.host) {
            if (!pending.isFinished) perform(pending, pending.host.controller.onResult(timeOf(pending.host), pending.request, result))
        }
    }

    private fun probe(
        host: Host,
        worker: WorkerEntry,
    ) {
        val result =
            when {
                areWorkersGone() -> ProbeResult.REFUSED
                !isCut(host) -> ProbeResult.ACCEPTED
                mode == CutMode.HANG -> ProbeResult.UNKNOWN
                else -> ProbeResult.REFUSED
            }
        val delayMs = if (result == ProbeResult.UNKNOWN) CONNECT_TIMEOUT_MS else 2 * LATENCY_MS
        after(delayMs) { ifRunning(host) { host.controller.onProbed(timeOf(host), worker, result) } }
    }

    private fun serviceMs() = random.nextLong(SERVICE_MS / 2, SERVICE_MS * 3 / 2)

    companion object {
        const val CUT_FROM_MS = 6_000L
        const val CUT_UNTIL_MS = 20_000L
        const val DURATION_MS = 30_000L

        /** Time after the start of a cut from which callers must be served, and time after its end. */
        const val STABLE_MS = 4_000L
        private const val BACK_MS = 2_000L
        private const val WORKERS = 24
        private const val SLOTS = 12
        private const val MAX_CONNECTIONS = 100_000
        private const val KEYS = 200
        private const val SERVICE_MS = 100L
        private const val LATENCY_MS = 20L
        private const val CONNECT_TIMEOUT_MS = 400L
        private const val URGENT_REPORT_DELAY_MS = 100L
        private const val OK = 200
        private const val SERVED = "served"
    }
}

package io.kumquatmill.traffic.crash

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RefusalCause
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetSimulation
import io.kumquatmill.traffic.fleet.HostFault
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker

/**
 * Simulates a fleet of hosts to which a caller sends a request again and again that ends each worker that begins to run it, beside proper
 * requests of the same workspace. Another process of the worker is there a few seconds later.
 *
 * @param crashSettings settings of the hosts
 * @param zoneLossesAtMs times at which all workers of an availability zone end at once, one zone after the other
 */
internal class CrashingRequestSimulation(
    hostCount: Int,
    faults: Set<HostFault>,
    seed: Long,
    private val crashSettings: CrashSettings = CrashSettings(),
    private val crashingPerS: Int = 4,
    private val properPerS: Int = 120,
    private val zoneLossesAtMs: List<Long> = emptyList(),
) : FleetSimulation(hostCount, faults, seed, faultsFromMs = 1_500, durationMs = DURATION_MS) {
    /** Request that reached a running worker; [isInTouch] states whether its host had been free of faults for [STABLE_MS]. */
    private class Arrival(
        val sentAtMs: Long,
        val isInTouch: Boolean,
    )

    private class InFlight(
        val host: Host,
        val request: TrafficRequest,
        val oneWayMs: Long,
        val fingerprint: RequestFingerprint,
    )

    private class Process(
        val entry: WorkerEntry,
    ) {
        var isRunning = true
        val inFlight = ArrayList<InFlight>()
    }

    private val crashing = RequestFingerprint(0xBADL)
    private val processes = LinkedHashMap<WorkerId, Process>()
    private var starts = 0
    private val outOfTouchUntilMs = HashMap<String, Long>()
    private val urgentReports = HashSet<Host>()
    private val arrivals = ArrayList<Arrival>()
    private val crashesAtMs = ArrayList<Long>()

    /** Number of workers that ended because of the crashing request. */
    val crashes: Int
        get() = crashesAtMs.size

    /** Number of proper requests by outcome. */
    val properOutcomes = HashMap<String, Int>()

    init {
        repeat(WORKERS) { startProcess(zones[it % zones.size]) }
    }

    fun run(): CrashingRequestSimulation = apply { runAll() }

    /** Returns how often the crashing request reached workers from hosts in touch later than allowed. */
    fun lateArrivals(): Int {
        val thirdCrashAtMs = crashesAtMs.getOrNull(2) ?: return 0
        return arrivals.count { it.isInTouch && it.sentAtMs > thirdCrashAtMs + STABLE_MS }
    }

    override fun createController(info: EntryHostInfo): TrafficController {
        lateinit var controller: TrafficController

        fun self(): Host? = hosts.find { it.controller === controller }
        controller =
            TrafficController(
                info,
                settings().copy(crash = crashSettings),
                probeWorker = { worker -> self()?.let { probe(it, worker) } },
                onCrashEvent = { event -> if (event is CrashEvent.WorkerEnded) self()?.let { sendReportSoon(it) } },
            )
        controller.updateHosts(nowMs, infos)
        controller.update(nowMs, state())
        return controller
    }

    override fun step() {
        if (nowMs in zoneLossesAtMs) endZone(zones[zoneLossesAtMs.indexOf(nowMs) % zones.size])
        if (nowMs >= CRASHING_FROM_MS && random.nextDouble() < crashingPerS / 1_000.0) onRandomHost { request(it, crashing) }
        if (random.nextDouble() < properPerS / 1_000.0) onRandomHost { request(it, RequestFingerprint(random.nextLong(PROPER_REQUESTS))) }
        hosts.filter { nowMs < it.cutUntilMs || nowMs < it.frozenUntilMs }.forEach { outOfTouchUntilMs[it.info.host] = nowMs + STABLE_MS }
    }

    override fun complete(
        report: PeerReport,
        host: Host,
    ) = report.copy(crashes = host.controller.crashReport(timeOf(host)))

    override fun onRestarted(host: Host) {
        outOfTouchUntilMs[host.info.host] = nowMs + STABLE_MS
        // A host that has just started is told the state of all others as soon as they have heard of it.
        hosts.filter { it !== host && nowMs >= it.cutUntilMs && nowMs >= host.cutUntilMs }.forEach { peer ->
            after(2 * LATENCY_MS) { ifRunning(peer) { reportOf(peer).let { report -> ifRunning(host) { onReport(host, report) } } } }
        }
    }

    private fun onRandomHost(action: (Host) -> Unit) = hosts.random(random).let { host -> ifRunning(host) { action(host) } }

    private fun sendReportSoon(host: Host) {
        if (!urgentReports.add(host)) return
        after(URGENT_REPORT_DELAY_MS) {
            urgentReports.remove(host)
            ifRunning(host) { sendReport(host) }
        }
    }

    private fun request(
        host: Host,
        fingerprint: RequestFingerprint,
    ) {
        val resolved = host.controller.resolve("shop.example", "/lookup/1", "key-alpha") as RouteResolution.Resolved
        val key = "k${fingerprint.value % KEYS}"
        val (request, action) =
            host.controller.begin(timeOf(host), resolved, key, "r${eventCount++}", deadlineMs = 2_000, fingerprint = fingerprint)
        perform(host, request, fingerprint, action)
    }

    private fun perform(
        host: Host,
        request: TrafficRequest?,
        fingerprint: RequestFingerprint,
        action: RequestAction,
    ) {
        if (action is RequestAction.Send) {
            val oneWayMs = latencyMs(host, action.worker.entry)
            val arrival = Arrival(nowMs, isInTouch = nowMs >= (outOfTouchUntilMs[host.info.host] ?: 0))
            val sent = InFlight(host, checkNotNull(request), oneWayMs, fingerprint)
            return after(oneWayMs) { arrive(sent, action.worker.entry, arrival) }
        }
        if (fingerprint == crashing) return
        val outcome =
            when (action) {
                is RequestAction.Deliver -> "served"
                is RequestAction.Refuse -> action.cause.wireName
                else -> "failed"
            }
        properOutcomes.merge(outcome, 1, Int::plus)
    }

    private fun arrive(
        sent: InFlight,
        entry: WorkerEntry,
        arrival: Arrival,
    ) {
        val process =
            processes[entry.id]?.takeIf { it.isRunning } ?: return reply(sent, AttemptResult.Unreachable("refused", isRefused = true))
        process.inFlight += sent
        if (sent.fingerprint == crashing) {
            arrivals += arrival
            return after(random.nextLong(CRASH_AFTER_MS)) { if (process.isRunning) crashesAtMs += nowMs.also { end(process) } }
        }
        after(random.nextLong(SERVICE_MS / 2, SERVICE_MS * 3 / 2)) {
            if (process.inFlight.remove(sent)) reply(sent, AttemptResult.Answered(OK, null))
        }
    }

    private fun reply(
        sent: InFlight,
        result: AttemptResult,
    ) = after(sent.oneWayMs) {
        ifRunning(sent.host) {
            val action = sent.host.controller.onResult(timeOf(sent.host), sent.request, result)
            perform(sent.host, sent.request, sent.fingerprint, action)
        }
    }

    /** Ends [process]: its connections close, its entry lapses, and another process starts. */
    private fun end(process: Process) {
        process.isRunning = false
        process.inFlight.forEach { reply(it, AttemptResult.Unknown("closed", isConnectionLost = true)) }
        process.inFlight.clear()
        after(ENTRY_LAPSES_MS) {
            processes.remove(process.entry.id)
            startProcess(process.entry.availabilityZone.value)
            hosts.forEach { host -> ifRunning(host) { host.controller.update(timeOf(host), state()) } }
        }
    }

    private fun endZone(zone: String) =
        processes.values
            .filter { it.entry.availabilityZone.value == zone && it.isRunning }
            .forEach { end(it) }

    private fun startProcess(zone: String) {
        val entry = worker("w${++starts}", zone = zone, slots = SLOTS)
        processes[entry.id] = Process(entry)
    }

    private fun state() = steeringState(processes.values.map { it.entry }, desiredState(maxConnections = MAX_CONNECTIONS))

    private fun probe(
        host: Host,
        entry: WorkerEntry,
    ) = after(2 * latencyMs(host, entry)) {
        val result = if (processes[entry.id]?.isRunning == true) ProbeResult.ACCEPTED else ProbeResult.REFUSED
        ifRunning(host) { host.controller.onProbed(timeOf(host), entry, result) }
    }

    private fun latencyMs(
        host: Host,
        entry: WorkerEntry,
    ): Long = if (entry.availabilityZone.value == host.info.availabilityZone) 1 else LATENCY_MS

    companion object {
        const val DURATION_MS = 30_000L

        /** Time after the third crash from which the request may reach workers [ALLOWED_LATE] times more, as the platform states them. */
        const val STABLE_MS = 4_000L
        const val ALLOWED_LATE = 3
        val quarantined = RefusalCause.QUARANTINED.wireName
        private const val CRASHING_FROM_MS = 2_000L
        private const val CRASH_AFTER_MS = 100L
        private const val WORKERS = 12
        private const val SLOTS = 12
        private const val MAX_CONNECTIONS = 100_000
        private const val KEYS = 40
        private const val PROPER_REQUESTS = 200L
        private const val SERVICE_MS = 300L
        private const val ENTRY_LAPSES_MS = 3_000L
        private const val URGENT_REPORT_DELAY_MS = 100L
        private const val LATENCY_MS = 35L
        private const val OK = 200
    }
}

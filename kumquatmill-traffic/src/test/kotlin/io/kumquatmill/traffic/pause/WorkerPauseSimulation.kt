package io.kumquatmill.traffic.pause

import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetSimulation
import io.kumquatmill.traffic.fleet.HostFault
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.leaving.WorkerWord
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker

/**
 * Simulates a fleet of [hostCount] hosts and [workerCount] workers, the first of which answers some requests with a refusal that names a
 * pause, while its entry is written again, and vanishes and returns. Refused callers come back when they are told to.
 *
 * @param isWordRead whether hosts read the pause
 */
internal class WorkerPauseSimulation(
    hostCount: Int,
    faults: Set<HostFault>,
    seed: Long,
    private val requestsPerS: Int,
    private val isWordRead: Boolean = true,
    private val workerCount: Int = 4,
) : FleetSimulation(hostCount, faults, seed, faultsFromMs = PAUSES_FROM_MS, durationMs = DURATION_MS) {
    private class Pause(
        val host: Host,
        val fromMs: Long,
        val untilMs: Long,
        var arrivals: Int = 0,
    )

    private val workers = (1..workerCount).map { worker("w$it", zone = zones[it % zones.size], slots = SLOTS) }
    private val desired = desiredState(maxConnections = MAX_CONNECTIONS)
    private val first = workers.first()
    private var entries = workers
    private var revision = 1L
    private val open = ArrayList<Pause>()
    private val frozen = HashSet<Pause>()

    /** Most requests from one host that reached the worker in one pause that it had named to that host; frozen hosts are left out. */
    var maxInPause = 0
        private set

    /** Number of pauses that the worker has named. */
    var pauses = 0
        private set

    /** Requests that were answered by a worker, and refusals of hosts. */
    var served = 0
        private set
    var refused = 0
        private set

    fun run(): WorkerPauseSimulation = apply { runAll() }

    override fun step() {
        if (nowMs >= PAUSES_FROM_MS && nowMs % ENTRY_CHANGE_MS == 0L) changeEntry()
        open.removeIf { nowMs >= it.untilMs }
        open.forEach { if (nowMs < it.host.frozenUntilMs) frozen += it }
        if (random.nextDouble() < requestsPerS / 1_000.0) hosts.random(random).let { host -> ifRunning(host) { request(host) } }
    }

    override fun complete(
        report: PeerReport,
        host: Host,
    ) = report

    override fun createController(info: EntryHostInfo) =
        TrafficController(info, settings()).apply {
            updateHosts(nowMs, infos)
            update(nowMs, steeringState(entries, desired))
        }

    private fun request(host: Host) {
        val controller = host.controller
        val resolved = controller.resolve("shop.example", "/lookup/1", "key-alpha") as RouteResolution.Resolved
        val key = "k${random.nextInt(KEYS)}"
        val (request, action) = controller.begin(timeOf(host), resolved, key, "r${eventCount++}", deadlineMs = 2_000, anyFingerprint)
        perform(host, request, action)
    }

    private fun perform(
        host: Host,
        request: TrafficRequest?,
        action: RequestAction,
    ) {
        when (action) {
            is RequestAction.Send -> {
                val oneWayMs = if (action.worker.entry.availabilityZone.value == host.info.availabilityZone) 1L else 35L
                after(oneWayMs) { arrive(host, checkNotNull(request), action, oneWayMs) }
            }
            is RequestAction.Refuse -> refused++
            is RequestAction.Deliver -> served++
            else -> Unit
        }
    }

    private fun arrive(
        host: Host,
        request: TrafficRequest,
        action: RequestAction.Send,
        oneWayMs: Long,
    ) {
        val entry = action.worker.entry
        if (entry.id == first.id) {
            open.filter { it.host === host && nowMs >= it.fromMs && it !in frozen }.forEach {
                maxInPause = maxOf(maxInPause, ++it.arrivals)
            }
        }
        val wantsPause = entry.id == first.id && nowMs >= PAUSES_FROM_MS && (workerCount == 1 || random.nextInt(4) == 0)
        if (wantsPause) return refuse(host, request, entry, oneWayMs)
        after(oneWayMs + random.nextLong(SERVICE_MS / 2, SERVICE_MS * 3 / 2)) {
            ifRunning(host) { perform(host, request, host.controller.onResult(timeOf(host), request, AttemptResult.Answered(OK, null))) }
        }
    }

    private fun refuse(
        host: Host,
        request: TrafficRequest,
        entry: WorkerEntry,
        oneWayMs: Long,
    ) {
        val pauseMs = random.nextLong(1_000, 5_000)
        pauses++
        open += Pause(host, nowMs + IN_FLIGHT_MS, nowMs + pauseMs)
        after(oneWayMs) {
            ifRunning(host) {
                val word = WorkerWord(isLeaving = false, pause = StatedPause.Named(pauseMs))
                if (isWordRead) host.controller.onWorkerWord(timeOf(host), entry, word)
                perform(host, request, host.controller.onResult(timeOf(host), request, AttemptResult.Shed(null)))
            }
        }
    }

    /** Writes the worker's entry again; every other time it vanishes for a moment first, as its lease lapsed. */
    private fun changeEntry() {
        revision++
        if (revision % 2 == 0L) applyEntries(workers.drop(1))
        after(ENTRY_GONE_MS) { applyEntries(listOf(first.copy(revision = revision)) + workers.drop(1)) }
    }

    private fun applyEntries(entries: List<WorkerEntry>) {
        this.entries = entries
        hosts.forEach { host -> ifRunning(host) { host.controller.update(timeOf(host), steeringState(entries, desired)) } }
    }

    companion object {
        const val PAUSES_FROM_MS = 5_000L
        const val DURATION_MS = 25_000L
        const val IN_FLIGHT_MS = 500L
        private const val SLOTS = 40
        private const val MAX_CONNECTIONS = 100_000
        private const val KEYS = 400
        private const val SERVICE_MS = 120L
        private const val ENTRY_CHANGE_MS = 2_000L
        private const val ENTRY_GONE_MS = 300L
        private const val OK = 200
    }
}

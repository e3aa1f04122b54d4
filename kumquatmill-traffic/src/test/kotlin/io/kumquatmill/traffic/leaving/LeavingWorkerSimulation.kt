package io.kumquatmill.traffic.leaving

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
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker

/**
 * Simulates a fleet of [hostCount] hosts and a few workers, the first of which says from [LEAVES_AT_MS] on in all its answers that it
 * leaves, while its entry says that it is ready, is written again, and vanishes and returns.
 *
 * @param isWordRead whether hosts read what the worker says; otherwise they know its entry alone
 * @param isTold whether hosts report it to their peers
 * @param isWrong whether the worker says it in one single answer, which was spoilt
 * @param workerCount number of workers
 */
internal class LeavingWorkerSimulation(
    hostCount: Int,
    faults: Set<HostFault>,
    seed: Long,
    private val requestsPerS: Int,
    private val isWordRead: Boolean = true,
    private val isTold: Boolean = true,
    private val isWrong: Boolean = false,
    workerCount: Int = 4,
) : FleetSimulation(hostCount, faults, seed, faultsFromMs = LEAVES_AT_MS, durationMs = DURATION_MS) {
    private val workers = (1..workerCount).map { worker("w$it", zone = zones[it % zones.size], slots = SLOTS) }
    private val desired = desiredState(maxConnections = MAX_CONNECTIONS)
    private val first = workers.first()
    private var entries = workers
    private var revision = 1L
    private var wordsSaid = 0
    private var firstWordAtMs: Long? = null
    private val saidAtMs = HashMap<Host, Long>()

    /** Requests that hosts sent to the worker after it had said to them that it leaves. */
    var sentAfterWord = 0
        private set

    /** Requests that hosts sent to the worker although it had said to another host more than [TOLD_AFTER_MS] before that it leaves. */
    var sentUntold = 0
        private set

    /** Requests at hosts to which the worker has not said anything, and how many of them were refused. */
    var requestsAtOthers = 0
        private set
    var refusedAtOthers = 0
        private set

    /** Requests that the worker got in the last [LAST_MS] of the simulation, and all requests in that time. */
    var atWorkerLast = 0
        private set
    var allLast = 0
        private set

    fun run(): LeavingWorkerSimulation = apply { runAll() }

    override fun step() {
        if (nowMs >= LEAVES_AT_MS && nowMs % ENTRY_CHANGE_MS == 0L) changeEntry()
        if (random.nextDouble() < requestsPerS / 1_000.0) hosts.random(random).let { host -> ifRunning(host) { request(host) } }
    }

    override fun complete(
        report: PeerReport,
        host: Host,
    ) = if (isTold) report.copy(leavingWorkers = host.controller.leavingWorkers(timeOf(host))) else report

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
        if (nowMs >= LEAVES_AT_MS && host !in saidAtMs) requestsAtOthers++
        if (nowMs >= DURATION_MS - LAST_MS) allLast++
        perform(host, request, action)
    }

    private fun perform(
        host: Host,
        request: TrafficRequest?,
        action: RequestAction,
    ) {
        when (action) {
            is RequestAction.Send -> {
                if (action.worker.entry.id == first.id) onSentToFirst(host)
                val oneWayMs = if (action.worker.entry.availabilityZone.value == host.info.availabilityZone) 1L else 35L
                val delayMs = 2 * oneWayMs + random.nextLong(SERVICE_MS / 2, SERVICE_MS * 3 / 2)
                after(delayMs) { ifRunning(host) { answer(host, checkNotNull(request), action) } }
            }
            is RequestAction.Refuse -> if (nowMs >= LEAVES_AT_MS && host !in saidAtMs) refusedAtOthers++
            else -> Unit
        }
    }

    private fun onSentToFirst(host: Host) {
        if (host in saidAtMs) sentAfterWord++
        if (host !in saidAtMs && firstWordAtMs.let { it != null && nowMs - it > TOLD_AFTER_MS }) sentUntold++
        if (nowMs >= DURATION_MS - LAST_MS) atWorkerLast++
    }

    private fun answer(
        host: Host,
        request: TrafficRequest,
        action: RequestAction.Send,
    ) {
        val entry = action.worker.entry
        if (entry.id == first.id && nowMs >= LEAVES_AT_MS && !(isWrong && wordsSaid > 0)) {
            wordsSaid++
            saidAtMs.putIfAbsent(host, nowMs)
            if (firstWordAtMs == null) firstWordAtMs = nowMs
            if (isWordRead) host.controller.onWorkerWord(timeOf(host), entry, WorkerWord(isLeaving = true))
        }
        perform(host, request, host.controller.onResult(timeOf(host), request, AttemptResult.Answered(OK, null)))
    }

    /** Writes the worker's entry again, as ready; every other time it vanishes for a moment first, as its lease lapsed. */
    private fun changeEntry() {
        revision++
        val isGone = revision % 2 == 0L && workers.size > 1
        if (isGone) applyEntries(workers.drop(1))
        after(ENTRY_GONE_MS) { applyEntries(listOf(first.copy(revision = revision)) + workers.drop(1)) }
    }

    private fun applyEntries(entries: List<WorkerEntry>) {
        this.entries = entries
        hosts.forEach { host -> ifRunning(host) { host.controller.update(timeOf(host), steeringState(entries, desired)) } }
    }

    companion object {
        const val LEAVES_AT_MS = 5_000L
        const val DURATION_MS = 30_000L
        const val TOLD_AFTER_MS = 1_500L
        const val LAST_MS = 8_000L
        private const val SLOTS = 40
        private const val MAX_CONNECTIONS = 100_000
        private const val KEYS = 400
        private const val SERVICE_MS = 120L
        private const val ENTRY_CHANGE_MS = 2_000L
        private const val ENTRY_GONE_MS = 300L
        private const val OK = 200
    }
}

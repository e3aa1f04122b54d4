package io.kumquatmill.traffic.workerlimit

import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.StatedRateLimit
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetSimulation
import io.kumquatmill.traffic.fleet.HostFault
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker

/**
 * Simulates a fleet of [hostCount] hosts and a few workers, the first of which is in need of relief for a while: its responses name a limit
 * of [limitPerS] requests per second.
 *
 * @param needsMs times during which the worker names its limit
 * @param entryRevisionAtMs time at which the store has a new entry of the worker in need, which says nothing new
 */
internal class WorkerLimitSimulation(
    hostCount: Int,
    private val limitPerS: Double,
    private val requestsPerS: Int,
    faults: Set<HostFault>,
    seed: Long,
    private val entryRevisionAtMs: Long? = null,
    private val needsMs: List<LongRange> = listOf(NEED_STARTS_MS until NEED_ENDS_MS),
) : FleetSimulation(hostCount, faults, seed, faultsFromMs = NEED_STARTS_MS, durationMs = DURATION_MS) {
    /** Request that reaches the worker in its need; [isTold] states whether its host had got the limit half a second before. */
    class Arrival(
        val atMs: Long,
        val isTold: Boolean,
    )

    private val workers = (1..WORKERS).map { worker("w$it", zone = zones[it % zones.size], slots = SLOTS) }
    private var entries = workers

    /** Times at which hosts were told of the limit, by host and need. */
    private val toldAtMs = HashMap<Pair<Host, LongRange?>, Long>()

    val arrivals = ArrayList<Arrival>()

    /** Numbers of requests that were sent and refused while the worker was in need. */
    var served = 0
        private set
    var refused = 0
        private set

    fun run(): WorkerLimitSimulation = apply { runAll() }

    override fun step() {
        if (nowMs == entryRevisionAtMs) replaceEntry()
        if (random.nextDouble() < requestsPerS / 1_000.0) hosts.random(random).let { host -> ifRunning(host) { request(host) } }
    }

    override fun complete(
        report: PeerReport,
        host: Host,
    ) = report.copy(workerLimits = host.controller.workerLimits(timeOf(host)))

    /** Returns the most requests in any window of [WINDOW_MS] while the worker names its limit. */
    fun maxToldInWindow(): Int {
        val told = arrivals.filter { it.isTold }.map { it.atMs }
        return told.indices.maxOfOrNull { last -> (last downTo 0).takeWhile { told[it] > told[last] - WINDOW_MS }.count() } ?: 0
    }

    /** Returns the number of requests per second at the worker in need between two times. */
    fun arrivalsPerS(
        fromMs: Long,
        untilMs: Long,
    ): Double = arrivals.count { it.atMs in fromMs until untilMs } * 1_000.0 / (untilMs - fromMs)

    override fun createController(info: EntryHostInfo) =
        TrafficController(info, settings()).apply {
            updateHosts(nowMs, infos)
            update(nowMs, steeringState(entries, desiredState(maxConnections = MAX_CONNECTIONS)))
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
        val isInNeed = need() != null
        when (action) {
            is RequestAction.Send -> {
                if (isInNeed) served++
                val oneWayMs = if (action.worker.entry.availabilityZone.value == host.info.availabilityZone) 1L else 35L
                after(oneWayMs) { arrive(host, checkNotNull(request), action, oneWayMs) }
            }
            is RequestAction.Refuse -> if (isInNeed) refused++
            else -> Unit
        }
    }

    private fun arrive(
        host: Host,
        request: TrafficRequest,
        action: RequestAction.Send,
        oneWayMs: Long,
    ) {
        val isWorkerInNeed = action.worker.entry.id == workers.first().id
        if (isWorkerInNeed) arrivals += Arrival(nowMs, isTold(host))
        after(random.nextLong(SERVICE_MS / 2, SERVICE_MS * 3 / 2)) {
            val isNamed = isWorkerInNeed && need() != null
            val stated = if (isNamed) StatedRateLimit.Named(limitPerS) else StatedRateLimit.None
            after(oneWayMs) {
                ifRunning(host) {
                    if (isNamed) toldAtMs.putIfAbsent(host to need(), nowMs)
                    perform(host, request, host.controller.onResult(timeOf(host), request, AttemptResult.Answered(OK, null, stated)))
                }
            }
        }
    }

    /** Returns the time in which the worker is in need now, or null if it is not. */
    private fun need(): LongRange? = needsMs.find { nowMs in it }

    private fun isTold(host: Host): Boolean = need()?.let { toldAtMs[host to it] }?.let { nowMs - it >= TOLD_MARGIN_MS } ?: false

    /** Writes the entry of the worker in need again: it vanishes for a moment, as its lease lapsed, and is back with a new revision. */
    private fun replaceEntry() {
        entries = workers.drop(1)
        applyEntries()
        after(ENTRY_GONE_MS) {
            entries = listOf(workers.first().copy(revision = 2)) + workers.drop(1)
            applyEntries()
        }
    }

    private fun applyEntries() = hosts.forEach { host -> ifRunning(host) { host.controller.update(timeOf(host), steeringState(entries)) } }

    companion object {
        const val NEED_STARTS_MS = 5_000L
        const val NEED_ENDS_MS = 30_000L
        const val DURATION_MS = 45_000L

        /** Window of the rule and time from which it holds, as the platform states them. */
        const val WINDOW_MS = 4_000L

        /** A host that got the limit this long before must keep to it. */
        const val TOLD_MARGIN_MS = 500L

        private const val WORKERS = 4
        private const val SLOTS = 40
        private const val MAX_CONNECTIONS = 100_000
        private const val KEYS = 400
        private const val SERVICE_MS = 120L
        private const val ENTRY_GONE_MS = 300L
        private const val OK = 200

        /** Returns the most requests in [WINDOW_MS] that the platform allows at a worker that names a limit of [limitPerS]. */
        fun bound(limitPerS: Double): Double = 1.5 * limitPerS * WINDOW_MS / 1_000 + 5
    }
}

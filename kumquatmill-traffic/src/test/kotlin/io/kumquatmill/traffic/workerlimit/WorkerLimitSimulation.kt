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
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker
import java.util.PriorityQueue
import kotlin.random.Random

/** Faults that a [WorkerLimitSimulation] injects. */
internal enum class HostFault { PEERS_CUT, FROZEN, RESTARTED, ALL_RESTARTED }

/**
 * Simulates a fleet of [hostCount] hosts and a few workers, the first of which is in need of relief for a while: its responses name a limit
 * of [limitPerS] requests per second.
 *
 * @param needsMs times during which the worker names its limit
 * @param entryRevisionAtMs time at which the store has a new entry of the worker in need, which says nothing new
 */
internal class WorkerLimitSimulation(
    private val hostCount: Int,
    private val limitPerS: Double,
    private val requestsPerS: Int,
    private val faults: Set<HostFault>,
    seed: Long,
    private val entryRevisionAtMs: Long? = null,
    private val needsMs: List<LongRange> = listOf(NEED_STARTS_MS until NEED_ENDS_MS),
) {
    /** Request that reaches the worker in its need; [isTold] states whether its host had got the limit half a second before. */
    class Arrival(
        val atMs: Long,
        val isTold: Boolean,
    )

    private class Host(
        val info: EntryHostInfo,
        val incarnation: Long,
        val controller: TrafficController,
    ) {
        var sequence = 0L
        val toldAtMs = HashMap<LongRange?, Long>()
        var cutUntilMs = 0L
        var frozenUntilMs = 0L
        var clockLagMs = 0L
        val backlog = ArrayList<() -> Unit>()
    }

    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var eventCount = 0L
    private var nowMs = 0L
    private val infos = (1..hostCount).map { host("h$it", zones[it % zones.size]) }
    private val workers = (1..WORKERS).map { worker("w$it", zone = zones[it % zones.size], slots = SLOTS) }
    private var entries = workers
    private val hosts = infos.mapTo(ArrayList()) { start(it, incarnation = 1) }

    val arrivals = ArrayList<Arrival>()

    /** Numbers of requests that were sent and refused while the worker was in need. */
    var served = 0
        private set
    var refused = 0
        private set

    fun run(): WorkerLimitSimulation {
        while (nowMs < DURATION_MS) {
            while ((events.peek()?.atMs ?: Long.MAX_VALUE) <= nowMs) events.poll().action()
            if (nowMs % REPORT_MS == 0L) hosts.forEach { host -> ifRunning(host) { sendReport(host) } }
            if (nowMs % TICK_MS == 0L) hosts.forEach { host -> ifRunning(host) { host.controller.tick(timeOf(host)) } }
            if (nowMs % FAULT_INTERVAL_MS == 0L && nowMs >= NEED_STARTS_MS) injectFault()
            if (nowMs == entryRevisionAtMs) replaceEntry()
            if (random.nextDouble() < requestsPerS / 1_000.0) hosts.random(random).let { host -> ifRunning(host) { request(host) } }
            nowMs++
        }
        return this
    }

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

    private fun start(
        info: EntryHostInfo,
        incarnation: Long,
    ) = Host(
        info,
        incarnation,
        TrafficController(info, settings()).apply {
            updateHosts(nowMs, infos)
            update(nowMs, steeringState(entries, desiredState(maxConnections = MAX_CONNECTIONS)))
        },
    )

    private fun timeOf(host: Host) = nowMs - host.clockLagMs

    private fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nowMs + delayMs, eventCount++, action))
    }

    /** Runs [action] of [host] now, or when the host runs again; never if it was restarted in the meantime. */
    private fun ifRunning(
        host: Host,
        action: () -> Unit,
    ) {
        if (hosts.none { it === host }) return
        if (nowMs < host.frozenUntilMs) host.backlog += action else action()
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
                    if (isNamed) host.toldAtMs.putIfAbsent(need(), nowMs)
                    perform(host, request, host.controller.onResult(timeOf(host), request, AttemptResult.Answered(OK, null, stated)))
                }
            }
        }
    }

    /** Returns the time in which the worker is in need now, or null if it is not. */
    private fun need(): LongRange? = needsMs.find { nowMs in it }

    private fun isTold(host: Host): Boolean = need()?.let { host.toldAtMs[it] }?.let { nowMs - it >= TOLD_MARGIN_MS } ?: false

    private fun sendReport(from: Host) {
        val report = reportOf(from)
        hosts.filter { it !== from && nowMs >= from.cutUntilMs && nowMs >= it.cutUntilMs }.forEach { to ->
            if (random.nextInt(LOST_ONE_IN) > 0) ifRunning(to) { to.controller.onReport(timeOf(to), report) }
        }
    }

    private fun reportOf(host: Host): PeerReport {
        val info = host.info
        return PeerReport(
            host = info.host,
            incarnation = host.incarnation,
            sequence = ++host.sequence,
            ip = info.ip,
            region = info.region,
            availabilityZone = info.availabilityZone,
            storeRevision = 1,
            isServing = true,
            workerLimits = host.controller.workerLimits(timeOf(host)),
        )
    }

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

    private fun injectFault() {
        val fault = faults.randomOrNull(random) ?: return
        val host = hosts.random(random)
        when (fault) {
            HostFault.PEERS_CUT -> host.cutUntilMs = nowMs + random.nextLong(1_000, 12_000)
            HostFault.FROZEN -> freeze(host, random.nextLong(500, 6_000))
            HostFault.RESTARTED -> restart(host)
            HostFault.ALL_RESTARTED -> if (random.nextInt(4) == 0) hosts.toList().forEach { restart(it) }
        }
    }

    private fun freeze(
        host: Host,
        forMs: Long,
    ) {
        if (nowMs < host.frozenUntilMs) return
        host.frozenUntilMs = nowMs + forMs
        after(forMs) {
            host.clockLagMs += forMs
            val due = host.backlog.toList()
            host.backlog.clear()
            due.forEach { it() }
        }
    }

    private fun restart(host: Host) {
        val index = hosts.indexOfFirst { it === host }
        if (index >= 0) hosts[index] = start(host.info, incarnation = nowMs)
    }

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
        private const val REPORT_MS = 500L
        private const val TICK_MS = 250L
        private const val FAULT_INTERVAL_MS = 1_000L
        private const val ENTRY_GONE_MS = 300L
        private const val LOST_ONE_IN = 20
        private const val OK = 200
        private val zones = listOf("east-a", "west-a", "east-b")

        /** Returns the most requests in [WINDOW_MS] that the platform allows at a worker that names a limit of [limitPerS]. */
        fun bound(limitPerS: Double): Double = 1.5 * limitPerS * WINDOW_MS / 1_000 + 5
    }
}

package io.kumquatmill.traffic.fleet

import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.host
import java.util.PriorityQueue
import kotlin.random.Random

/** Faults of hosts that a [FleetSimulation] injects. */
internal enum class HostFault { PEERS_CUT, FROZEN, RESTARTED, ALL_RESTARTED }

/**
 * Simulates the decisions of a fleet of [hostCount] hosts in virtual time: they exchange reports, some of which get lost, and are cut off
 * from each other, frozen and restarted at random.
 *
 * @param faultsFromMs time of the first fault
 */
internal abstract class FleetSimulation(
    protected val hostCount: Int,
    private val faults: Set<HostFault>,
    seed: Long,
    private val faultsFromMs: Long,
    private val durationMs: Long,
) {
    protected class Host(
        val info: EntryHostInfo,
        val incarnation: Long,
        val controller: TrafficController,
    ) {
        var sequence = 0L
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

    protected val random = Random(seed)
    protected var eventCount = 0L
    protected var nowMs = 0L
        private set
    protected val infos = (1..hostCount).map { host("h$it", zones[it % zones.size]) }
    protected val hosts: MutableList<Host> by lazy { infos.mapTo(ArrayList()) { start(it, incarnation = 1) } }
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))

    /** Returns the controller of a host that starts now. */
    protected abstract fun createController(info: EntryHostInfo): TrafficController

    /** Injects the load of one millisecond. */
    protected abstract fun step()

    /** Adds what this simulation is about to a [report] of [host]. */
    protected abstract fun complete(
        report: PeerReport,
        host: Host,
    ): PeerReport

    protected fun runAll() {
        while (nowMs < durationMs) {
            while ((events.peek()?.atMs ?: Long.MAX_VALUE) <= nowMs) events.poll().action()
            if (nowMs % REPORT_MS == 0L) hosts.forEach { host -> ifRunning(host) { sendReport(host) } }
            if (nowMs % TICK_MS == 0L) hosts.forEach { host -> ifRunning(host) { host.controller.tick(timeOf(host)) } }
            if (nowMs % FAULT_INTERVAL_MS == 0L && nowMs >= faultsFromMs) injectFault()
            step()
            nowMs++
        }
    }

    protected fun timeOf(host: Host) = nowMs - host.clockLagMs

    protected fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nowMs + delayMs, eventCount++, action))
    }

    /** Runs [action] of [host] now, or when the host runs again; never if it was restarted in the meantime. */
    protected fun ifRunning(
        host: Host,
        action: () -> Unit,
    ) {
        if (hosts.none { it === host }) return
        if (nowMs < host.frozenUntilMs) host.backlog += action else action()
    }

    protected fun sendReport(from: Host) {
        val report = reportOf(from)
        hosts.filter { it !== from && nowMs >= from.cutUntilMs && nowMs >= it.cutUntilMs }.forEach { to ->
            if (random.nextInt(LOST_ONE_IN) > 0) ifRunning(to) { onReport(to, report) }
        }
    }

    protected open fun onReport(
        to: Host,
        report: PeerReport,
    ) {
        to.controller.onReport(timeOf(to), report)
    }

    protected open fun onRestarted(host: Host) = Unit

    protected fun reportOf(host: Host): PeerReport =
        complete(io.kumquatmill.traffic.report(host.info, ++host.sequence, host.incarnation), host)

    private fun start(
        info: EntryHostInfo,
        incarnation: Long,
    ) = Host(info, incarnation, createController(info))

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

    protected fun restart(host: Host) {
        val index = hosts.indexOfFirst { it === host }
        if (index < 0) return
        hosts[index] = start(host.info, incarnation = nowMs)
        onRestarted(hosts[index])
    }

    protected companion object {
        val zones = listOf("east-a", "west-a", "east-b")
        private const val REPORT_MS = 500L
        private const val TICK_MS = 250L
        private const val FAULT_INTERVAL_MS = 1_000L
        private const val LOST_ONE_IN = 20
    }
}

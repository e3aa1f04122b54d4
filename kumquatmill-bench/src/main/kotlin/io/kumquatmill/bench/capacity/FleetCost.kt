package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fleet.ControlFleet
import io.kumquatmill.bench.fleet.FleetPlan
import io.kumquatmill.bench.fleet.Traffic

/** Measures what coordination costs each host of an idle fleet: steady, after a change, a restart and an outage. */
internal class FleetCost(
    private val fleetSizes: List<Int> = Sizes.fleetSizes,
) {
    private val membership = collector("membership")
    private val store = collector("store calls of the fleet")
    private val change = collector("configuration")
    private val tick = collector("tick")

    fun measure(): List<Series> {
        fleetSizes.forEach(::measureAt)
        return membership.series() + change.series() + tick.series() + store.series()
    }

    private fun collector(role: String) = SeriesCollector(role, "hosts", Sizes.today.hosts.toDouble(), Sizes.target.hosts.toDouble())

    private fun measureAt(hosts: Int) {
        val regions = if (hosts <= Sizes.today.hosts) Sizes.today.regions else Sizes.target.regions
        val stateBytes = retainedBytes { ControlFleet(FleetPlan(hosts, regions)).also { measure(it, hosts) } }
        membership.add("state of a whole host, 8 workspaces", "bytes", hosts, stateBytes / hosts)
    }

    private fun measure(
        fleet: ControlFleet,
        hosts: Int,
    ) {
        fleet.start()
        addStore(fleet, hosts, "start of all hosts")
        check(fleet.standingHosts == hosts) { "${fleet.standingHosts} of $hosts hosts have standing after the start" }
        measureSteady(fleet, hosts)
        measureChange(fleet, hosts)
        measureRestart(fleet, hosts)
        measureOutage(fleet, hosts)
    }

    private fun measureSteady(
        fleet: ControlFleet,
        hosts: Int,
    ) {
        fleet.run(SETTLE_MS)
        fleet.reset()
        fleet.run(STEADY_MS)
        val hostSeconds = hosts * STEADY_MS / MS_PER_S
        val traffic = fleet.traffic
        membership.add("messages", "1/s a host", hosts, traffic.messagesOf(Traffic.MEMBERSHIP) / hostSeconds)
        membership.add("peer bytes sent and received", "bytes/s a host", hosts, 2 * traffic.peerBytes / hostSeconds)
        membership.add("peer bytes, the busiest host", "bytes/s", hosts, traffic.busiestHostBytes * MS_PER_S / STEADY_MS)
        membership.add("store bytes", "bytes/s a host", hosts, traffic.storeBytes() / hostSeconds)
        tick.add("tick of an idle host", "us", hosts, fleet.tickNs / NS_PER_US / (hostSeconds * TICKS_PER_S))
        tick.add("core used, steady", "% of a core", hosts, fleet.corePercent(hostSeconds))
        addStore(fleet, hosts, "steady")
    }

    private fun measureChange(
        fleet: ControlFleet,
        hosts: Int,
    ) {
        val before = fleet.lowestRevision
        fleet.reset()
        val startedMs = fleet.time.nowMs
        fleet.acceptLists()
        while (fleet.lowestRevision == before && fleet.time.nowMs - startedMs < CHANGE_TIMEOUT_MS) fleet.run(CHANGE_STEP_MS)
        change.add("time until in force everywhere", "ms", hosts, (fleet.time.nowMs - startedMs).toDouble())
        fleet.run(SETTLE_MS)
        addStore(fleet, hosts, "edit")
    }

    private fun measureRestart(
        fleet: ControlFleet,
        hosts: Int,
    ) {
        fleet.reset()
        fleet.restart(hosts - 1)
        fleet.run(RESTART_MS)
        membership.add(
            "bytes in 20 s with a restart",
            "bytes a host",
            hosts,
            (fleet.traffic.storeBytes() + 2.0 * fleet.traffic.peerBytes) / hosts,
        )
        tick.add("core used, 20 s around a restart", "% of a core", hosts, fleet.corePercent(hosts * RESTART_MS / MS_PER_S))
        addStore(fleet, hosts, "restart")
    }

    private fun measureOutage(
        fleet: ControlFleet,
        hosts: Int,
    ) {
        fleet.store.isDown = true
        fleet.run(SETTLE_MS)
        fleet.reset()
        fleet.run(STEADY_MS)
        val hostSeconds = hosts * STEADY_MS / MS_PER_S
        membership.add("peer bytes in a store outage", "bytes/s a host", hosts, 2 * fleet.traffic.peerBytes / hostSeconds)
        membership.add(
            "peer bytes in a store outage, the busiest host",
            "bytes/s",
            hosts,
            fleet.traffic.busiestHostBytes * MS_PER_S / STEADY_MS,
        )
        membership.add("hosts without standing in a store outage", "hosts", hosts, (hosts - fleet.standingHosts).toDouble())
        addStore(fleet, hosts, "outage")
        fleet.reset()
        fleet.store.isDown = false
        fleet.run(RETURN_MS)
        membership.add(
            "bytes in the 20 s of a return",
            "bytes a host",
            hosts,
            (fleet.traffic.storeBytes() + 2.0 * fleet.traffic.peerBytes) / hosts,
        )
        addStore(fleet, hosts, "return after an outage")
    }

    private fun addStore(
        fleet: ControlFleet,
        hosts: Int,
        situation: String,
    ) {
        store.add("writes, $situation", "peak 1/s", hosts, fleet.traffic.peakWritesPerS.toDouble())
        store.add("reads and watches, $situation", "peak 1/s", hosts, fleet.traffic.peakReadsPerS.toDouble())
    }

    private fun Traffic.storeBytes(): Long = storeAnswerBytes + storeCallBytes

    private fun ControlFleet.corePercent(hostSeconds: Double): Double =
        (tickNs + eventNs + traffic.codecNs + traffic.storeCodecNs) / NS_PER_S / hostSeconds * PERCENT

    private companion object {
        const val SETTLE_MS = 10_000L
        const val STEADY_MS = 10_000L
        const val RESTART_MS = 20_000L
        const val RETURN_MS = 20_000L
        const val CHANGE_TIMEOUT_MS = 20_000L
        const val CHANGE_STEP_MS = 50L
        const val MS_PER_S = 1_000.0
        const val NS_PER_US = 1_000.0
        const val NS_PER_S = 1e9
        const val TICKS_PER_S = 20
        const val PERCENT = 100
    }
}

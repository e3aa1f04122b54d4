package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fleet.FleetSpec
import io.kumquatmill.bench.fleet.SimulatedFleet
import io.kumquatmill.bench.fleet.Traffic

/** Measures the coordination cost per host of an idle fleet: in steady state and after an edit, a host restart and a store outage. */
internal class FleetCost(
    private val fleetSizes: List<Int> = Sizes.fleetSizes,
) {
    private val membership = collector("membership")
    private val store = collector("store calls of the fleet")
    private val configuration = collector("configuration")
    private val tick = collector("tick")

    fun measure(): List<Series> {
        fleetSizes.forEach(::measureAt)
        return membership.series() + configuration.series() + tick.series() + store.series()
    }

    private fun collector(role: String) = SeriesCollector(role, "hosts", Sizes.today.hosts.toDouble(), Sizes.target.hosts.toDouble())

    private fun measureAt(hosts: Int) {
        val regions = if (hosts <= Sizes.today.hosts) Sizes.today.regions else Sizes.target.regions
        val stateBytes = retainedBytes { SimulatedFleet(FleetSpec(hosts, regions)).also { measure(it, hosts) } }
        membership.add("state of a whole host, 8 workspaces", "bytes", hosts, stateBytes / hosts)
    }

    private fun measure(
        fleet: SimulatedFleet,
        hosts: Int,
    ) {
        fleet.start()
        recordStoreLoad(fleet, hosts, "start of all hosts")
        check(fleet.standingHosts == hosts) { "hosts with standing after the start: expected $hosts, found ${fleet.standingHosts}" }
        measureSteady(fleet, hosts)
        measureConfigurationChange(fleet, hosts)
        measureRestart(fleet, hosts)
        measureOutage(fleet, hosts)
    }

    private fun measureSteady(
        fleet: SimulatedFleet,
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
        recordStoreLoad(fleet, hosts, "steady")
    }

    private fun measureConfigurationChange(
        fleet: SimulatedFleet,
        hosts: Int,
    ) {
        val before = fleet.lowestRevision
        fleet.reset()
        val startedMs = fleet.time.nowMs
        fleet.writeConfiguration()
        while (fleet.lowestRevision == before && fleet.time.nowMs - startedMs < CHANGE_TIMEOUT_MS) fleet.run(CHANGE_STEP_MS)
        configuration.add("time until in force everywhere", "ms", hosts, (fleet.time.nowMs - startedMs).toDouble())
        fleet.run(SETTLE_MS)
        recordStoreLoad(fleet, hosts, "edit")
    }

    private fun measureRestart(
        fleet: SimulatedFleet,
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
        recordStoreLoad(fleet, hosts, "restart")
    }

    private fun measureOutage(
        fleet: SimulatedFleet,
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
        recordStoreLoad(fleet, hosts, "outage")
        fleet.reset()
        fleet.store.isDown = false
        fleet.run(RECOVERY_MS)
        membership.add(
            "bytes in the 20 s of a return",
            "bytes a host",
            hosts,
            (fleet.traffic.storeBytes() + 2.0 * fleet.traffic.peerBytes) / hosts,
        )
        recordStoreLoad(fleet, hosts, "return after an outage")
    }

    private fun recordStoreLoad(
        fleet: SimulatedFleet,
        hosts: Int,
        phase: String,
    ) {
        store.add("writes, $phase", "peak 1/s", hosts, fleet.traffic.peakWritesPerS.toDouble())
        store.add("reads and watches, $phase", "peak 1/s", hosts, fleet.traffic.peakReadsPerS.toDouble())
    }

    private fun Traffic.storeBytes(): Long = storeReplyBytes + storeCallBytes

    private fun SimulatedFleet.corePercent(hostSeconds: Double): Double =
        (tickNs + eventNs + traffic.codecNs + traffic.storeCodecNs) / NS_PER_S / hostSeconds * PERCENT

    private companion object {
        const val SETTLE_MS = 10_000L
        const val STEADY_MS = 10_000L
        const val RESTART_MS = 20_000L
        const val RECOVERY_MS = 20_000L
        const val CHANGE_TIMEOUT_MS = 20_000L
        const val CHANGE_STEP_MS = 50L
        const val MS_PER_S = 1_000.0
        const val NS_PER_US = 1_000.0
        const val NS_PER_S = 1e9
        const val TICKS_PER_S = 20
        const val PERCENT = 100
    }
}

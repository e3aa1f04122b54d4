package io.kumquatmill.bench.capacity

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.gateway.peer.PeerMessage
import io.kumquatmill.gateway.peer.PeerMessageCodec
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.Workspace

/** Measures what the reports between the entry hosts of a fleet cost one of them, for several numbers of hosts. */
internal class PeerReportCost(
    private val hostCounts: List<Int> = Sizes.entryHostCounts,
) {
    private val workspaces =
        (0 until WORKSPACES).map { index ->
            // A few workspaces are large; the rate of the others is less than two requests a second and host in a fleet of 34.
            val ratePerS = if (index < LARGE_WORKSPACES) LARGE_RATE_PER_S else SMALL_RATE_PER_S
            Workspace(WorkspaceId("workspace-$index"), setOf("key-$index"), ratePerS, ratePerS, priority = 1, homeRegions = emptySet())
        }

    fun measure(): List<Series> {
        measureAt(hostCounts.first(), newCollector())
        return newCollector().also { collector -> hostCounts.forEach { measureAt(it, collector) } }.series()
    }

    private fun newCollector() = SeriesCollector("peer-reports", "hosts", Sizes.today.hosts.toDouble(), Sizes.target.hosts.toDouble())

    private fun measureAt(
        hosts: Int,
        collector: SeriesCollector,
    ) {
        val infos = (0 until hosts).map(::host)
        val controller = controller(infos)
        val reports = infos.drop(1).mapIndexed { index, info -> report(info, index) }
        val messages = reports.map { PeerMessageCodec.encode(PeerMessage(report = it)) }
        val peers = infos.drop(1)
        collector.add("bytes of a report", "bytes", hosts, messages.map { it.size }.average())
        collector.add(
            "sending a report to all peers, without the socket",
            "us",
            hosts,
            measureUs { encodeForAll(controller, peers, reports[0]) },
        )
        collector.add("reading the reports of all peers", "us", hosts, measureUs { messages.forEach { PeerMessageCodec.decode(it) } })
        var sequence = 1L
        collector.add(
            "applying the reports of all peers, and a tick",
            "us",
            hosts,
            measureUs {
                sequence++
                val nowMs = sequence * TICK_MS
                reports.forEach { controller.onReport(nowMs, it.copy(sequence = sequence)) }
                controller.tick(nowMs)
            },
        )
    }

    private fun encodeForAll(
        controller: TrafficController,
        peers: List<EntryHostInfo>,
        report: PeerReport,
    ) = controller.demandByPeer(peers, report.demandPerS).keys.forEach {
        PeerMessageCodec.encode(PeerMessage(report = report.copy(demandPerS = it)))
    }

    private fun measureUs(run: () -> Unit): Double {
        repeat(WARM_UP_RUNS) { run() }
        val startedNs = System.nanoTime()
        repeat(RUNS) { run() }
        return (System.nanoTime() - startedNs) / NS_PER_US / RUNS
    }

    private fun host(index: Int) =
        EntryHostInfo(
            "host-$index",
            "10.0.${index / HOSTS_PER_NET}.${index % HOSTS_PER_NET}",
            MeasuredController.region(index),
            MeasuredController.zone(index),
        )

    private fun report(
        info: EntryHostInfo,
        index: Int,
    ): PeerReport {
        val demanded = (0 until DEMANDED_WORKSPACES).map { workspaces[(index + it) % WORKSPACES] }
        return PeerReport(
            host = info.host,
            incarnation = INCARNATION_MS,
            sequence = 1,
            ip = info.ip,
            region = info.region,
            availabilityZone = info.availabilityZone,
            storeRevision = 4_711,
            isServing = true,
            version = 12,
            demandPerS = demanded.associate { WorkspaceTag.of(it.id) to DEMAND_PER_S },
            sharesPerMille = demanded.associate { WorkspaceTag.of(it.id) to SHARE_PER_MILLE },
            workerReachAgeMs = 40,
        )
    }

    private fun controller(infos: List<EntryHostInfo>): TrafficController {
        val desired = MeasuredController.emptyState.copy(workspaces = workspaces, isKeyRequired = true)
        return MeasuredController.create(infos.first()).apply {
            updateHosts(0, infos)
            update(0, SteeringState(desired, emptyMap(), emptySet()))
        }
    }

    private companion object {
        const val WORKSPACES = 80
        const val LARGE_WORKSPACES = 4
        const val LARGE_RATE_PER_S = 300.0
        const val SMALL_RATE_PER_S = 20.0
        const val DEMANDED_WORKSPACES = 4
        const val DEMAND_PER_S = 1.5
        const val SHARE_PER_MILLE = 30
        const val HOSTS_PER_NET = 250
        const val INCARNATION_MS = 1_765_000_000_000
        const val TICK_MS = 1_000L
        const val WARM_UP_RUNS = 300
        const val RUNS = 300
        const val NS_PER_US = 1_000.0
    }
}

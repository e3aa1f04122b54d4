package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.SharedLoad
import io.kumquatmill.traffic.fleet.WorkerTag

/**
 * Loads of workers that the hosts of a region tell each other.
 *
 * In a large fleet each host hears from a worker only now and then, and in between does not see the requests that other hosts send to it.
 * Hosts of other regions send few requests to the workers of a region, so they are not told.
 *
 * @param region region of this host
 */
internal class SharedLoads(
    private val region: String,
    private val fleet: FleetView,
    private val workers: WorkerRegistry,
    private val settings: PlacementSettings,
) {
    private class Observation(
        val worker: TrackedWorker,
        val requests: Long,
        val atMs: Long,
    )

    /** Latest load that each worker has reported to this host, the newest last. */
    private val observations = LinkedHashMap<WorkerId, Observation>()
    private var workersByTag: Map<WorkerTag, TrackedWorker> = emptyMap()
    private var indexedVersion = -1L

    /** Number of loads from peers that were newer than what this host knew. */
    var usedCount: Long = 0
        private set

    private val isShared: Boolean
        get() = settings.sharedLoadsPerReport > 0 && fleet.size() > settings.minHostsToShareLoads

    /** Records that [worker] reported a total of [requests] to this host. */
    fun onReported(
        nowMs: Long,
        worker: TrackedWorker,
        requests: Long,
    ) {
        if (!isShared) return
        observations.remove(worker.entry.id)
        observations[worker.entry.id] = Observation(worker, requests, nowMs)
        if (observations.size > settings.sharedLoadsPerReport) observations.remove(observations.keys.first())
    }

    /** Returns the newest loads that workers have reported to this host since about its last report to peers. */
    fun ownLoads(nowMs: Long): Map<WorkerTag, SharedLoad> {
        if (!isShared) return emptyMap()
        return observations.values
            .filter { nowMs - it.atMs <= fleet.reportIntervalMs() }
            .associate { it.worker.tag to SharedLoad(it.requests.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(), nowMs - it.atMs) }
    }

    /** Applies the loads of a peer's [report], as load reports of their age. */
    fun onReport(
        nowMs: Long,
        report: PeerReport,
    ) {
        if (report.workerLoads.isEmpty() || report.region != region || !isShared) return
        if (indexedVersion != workers.version) {
            workersByTag = workers.all().associateBy { it.tag }
            indexedVersion = workers.version
        }
        report.workerLoads.entries.take(settings.sharedLoadsPerReport).forEach { (tag, load) ->
            if (workersByTag[tag]?.onSharedLoad(nowMs - load.ageMs, load.requests.toLong()) == true) usedCount++
        }
    }
}

package io.kumquatmill.traffic.fleet

import io.kumquatmill.traffic.crash.CrashReport

/**
 * Report that a host sends to its peers every few hundred milliseconds; each report replaces the previous one.
 *
 * @property incarnation Unix time of the host's start in milliseconds; it increases with each restart
 * @property sequence number of the report within its incarnation
 * @property storeRevision highest store revision that the host has applied
 * @property version version of the desired state that is in effect, or null before the first one
 * @property demandPerS demand at this host by workspace, in requests per second; workspaces without demand are left out
 * @property sharesPerMille the host's shares of the workspaces' rate limits in thousandths, rounded up; idle shares of workspaces
 * without demand are left out
 * @property workerLimits the host's own observations of the rates that workers take
 * @property crashes what the host knows of requests under which workers have ended
 * @property leavingWorkers workers that have said to the host that they leave, with the time since then in milliseconds
 * @property workerLoads loads that workers have lately reported to the host; sent to hosts of its own region only
 * @property stalePeers names of the peers without a fresh report
 * @property workerReachAgeMs time in milliseconds since a worker last responded to the host directly, or null if none has
 * @property isCutOff whether the host is cut off from all workers and sends requests through its peers
 * @property cores processing capacity of the host, see [EntryHostInfo.cores]
 * @property linkMbps bandwidth of the host's network link in megabits per second, or null if unknown
 * @property memoryMb memory of the host in megabytes, or null if unknown
 */
data class PeerReport(
    val host: String,
    val incarnation: Long,
    val sequence: Long,
    val ip: String,
    val region: String,
    val availabilityZone: String,
    val storeRevision: Long,
    val isServing: Boolean,
    val version: Long? = null,
    val demandPerS: Map<WorkspaceTag, Double> = emptyMap(),
    val sharesPerMille: Map<WorkspaceTag, Int> = emptyMap(),
    val workerLimits: Map<WorkerTag, WorkerLimitObservation> = emptyMap(),
    val crashes: CrashReport = CrashReport(),
    val leavingWorkers: Map<WorkerTag, Long> = emptyMap(),
    val stalePeers: List<String> = emptyList(),
    val workerReachAgeMs: Long? = null,
    val isCutOff: Boolean = false,
    val cores: Double? = null,
    val linkMbps: Double? = null,
    val memoryMb: Double? = null,
    val workerLoads: Map<WorkerTag, SharedLoad> = emptyMap(),
) {
    /** Record of the host that sent this report. */
    val sender: EntryHostInfo
        get() = EntryHostInfo(host, ip, region, availabilityZone, cores, linkMbps, memoryMb)
}

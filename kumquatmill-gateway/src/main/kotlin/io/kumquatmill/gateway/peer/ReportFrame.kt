package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.PeerReport
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Encoded form of a [PeerReport]. */
@Serializable
internal class ReportFrame(
    @SerialName("h") val host: String,
    @SerialName("i") val incarnation: Long,
    @SerialName("n") val sequence: Long,
    @SerialName("a") val ip: String,
    @SerialName("r") val region: String,
    @SerialName("z") val availabilityZone: String,
    @SerialName("v") val storeRevision: Long,
    @SerialName("s") val isServing: Boolean,
    @SerialName("w") val workspaces: WorkspaceColumns,
    @SerialName("p") val stalePeers: List<String>,
    @SerialName("d") val version: Long? = null,
    @SerialName("l") val workerLimits: WorkerLimitColumns = WorkerLimitColumns.EMPTY,
    @SerialName("c") val crashes: CrashColumns = CrashColumns.EMPTY,
    @SerialName("e") val leavingWorkers: LeavingColumns? = null,
    @SerialName("o") val workerReachAgeMs: Long? = null,
    @SerialName("x") val isCutOff: Boolean = false,
    @SerialName("k") val cores: Double? = null,
    @SerialName("b") val linkMbps: Double? = null,
    @SerialName("m") val memoryMb: Double? = null,
    @SerialName("u") val workerLoads: LoadColumns? = null,
) {
    /** Throws [IllegalArgumentException] if a time is negative. */
    fun toReport() =
        PeerReport(
            host = host,
            incarnation = incarnation,
            sequence = sequence,
            ip = ip,
            region = region,
            availabilityZone = availabilityZone,
            storeRevision = storeRevision,
            isServing = isServing,
            version = version,
            demandPerS = workspaces.demandPerS(),
            sharesPerMille = workspaces.sharesPerMille(),
            workerLimits = workerLimits.toObservations(),
            crashes = crashes.toReport(),
            leavingWorkers = leavingWorkers?.toAges().orEmpty(),
            stalePeers = stalePeers,
            workerReachAgeMs = workerReachAgeMs?.also { require(it >= 0) { "negative time since a worker responded: $it" } },
            isCutOff = isCutOff,
            cores = cores,
            linkMbps = linkMbps,
            memoryMb = memoryMb,
            workerLoads = workerLoads?.toLoads().orEmpty(),
        )

    companion object {
        fun of(report: PeerReport) =
            ReportFrame(
                host = report.host,
                incarnation = report.incarnation,
                sequence = report.sequence,
                ip = report.ip,
                region = report.region,
                availabilityZone = report.availabilityZone,
                storeRevision = report.storeRevision,
                isServing = report.isServing,
                workspaces = WorkspaceColumns.of(report),
                stalePeers = report.stalePeers,
                version = report.version,
                workerLimits = WorkerLimitColumns.of(report.workerLimits),
                crashes = CrashColumns.of(report.crashes),
                leavingWorkers = report.leavingWorkers.ifEmpty { null }?.let { LeavingColumns.of(it) },
                workerReachAgeMs = report.workerReachAgeMs,
                isCutOff = report.isCutOff,
                cores = report.cores,
                linkMbps = report.linkMbps,
                memoryMb = report.memoryMb,
                workerLoads = report.workerLoads.ifEmpty { null }?.let { LoadColumns.of(it) },
            )
    }
}

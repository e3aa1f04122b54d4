package io.kumquatmill.traffic.control

import io.kumquatmill.traffic.crash.CrashReport
import io.kumquatmill.traffic.crash.CrashingRequests
import io.kumquatmill.traffic.fleet.ChangeSource
import io.kumquatmill.traffic.fleet.DirectoryAnswer
import io.kumquatmill.traffic.fleet.DirectorySelection
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.SharedLoad
import io.kumquatmill.traffic.fleet.WorkerLimitObservation
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.leaving.LeavingWorkers
import io.kumquatmill.traffic.placement.SharedLoads
import io.kumquatmill.traffic.ratelimit.LoanGrant
import io.kumquatmill.traffic.ratelimit.LoanRequest
import io.kumquatmill.traffic.ratelimit.WorkspaceRateLimiter
import io.kumquatmill.traffic.reach.WorkerReach
import io.kumquatmill.traffic.workerlimit.WorkerLimits

/** The [PeerExchange] of a [TrafficController]: each part keeps what it learns from reports and says what is reported of it. */
internal class FleetExchange(
    private val fleet: FleetView,
    private val rateLimiter: WorkspaceRateLimiter,
    private val workerLimits: WorkerLimits,
    private val crashingRequests: CrashingRequests,
    private val reach: WorkerReach,
    private val leaving: LeavingWorkers,
    private val sharedLoads: SharedLoads,
    override val changeSource: ChangeSource,
) : PeerExchange {
    override fun updateHosts(
        nowMs: Long,
        hosts: Collection<EntryHostInfo>,
    ) = fleet.updateHosts(nowMs, hosts)

    override fun onReport(
        nowMs: Long,
        report: PeerReport,
    ): Boolean {
        val isApplied = fleet.onReport(nowMs, report)
        if (isApplied) {
            workerLimits.onReport(nowMs, report)
            crashingRequests.onReport(nowMs, report)
            leaving.onReport(nowMs, report)
            sharedLoads.onReport(nowMs, report)
        }
        return isApplied
    }

    override fun workerReachAgeMs(nowMs: Long): Long? = reach.reachAgeMs(nowMs)

    override fun reachingPeerCount(nowMs: Long): Int = fleet.reachingPeers(nowMs).size

    override fun isHost(ip: String): Boolean = fleet.hosts().any { it.ip == ip }

    override fun changeBatchMs(): Long = fleet.changeBatchMs()

    override fun peers(): List<EntryHostInfo> = fleet.peers()

    override fun livePeers(nowMs: Long): List<PeerReport> = fleet.livePeers(nowMs)

    override fun servingHosts(
        nowMs: Long,
        region: String,
        isServing: Boolean,
    ): List<EntryHostInfo> = fleet.servingHosts(nowMs, region, isServing, reach.isCutOff)

    override fun directory(
        nowMs: Long,
        region: String,
        isServing: Boolean,
        callerIp: String,
    ): DirectoryAnswer = DirectorySelection.select(callerIp, servingHosts(nowMs, region, isServing), fleet.hosts())

    override fun demandPerS(nowMs: Long): Map<WorkspaceTag, Double> = rateLimiter.demandPerS(nowMs)

    override fun demandByPeer(
        peers: List<EntryHostInfo>,
        demandPerS: Map<WorkspaceTag, Double>,
    ): Map<Map<WorkspaceTag, Double>, List<EntryHostInfo>> = rateLimiter.demandByPeer(peers, demandPerS)

    override fun sharesPerMille(): Map<WorkspaceTag, Int> = rateLimiter.sharesPerMille()

    override fun workerLimits(nowMs: Long): Map<WorkerTag, WorkerLimitObservation> = workerLimits.ownObservations(nowMs)

    override fun crashReport(nowMs: Long): CrashReport = crashingRequests.report(nowMs)

    override fun leavingWorkers(nowMs: Long): Map<WorkerTag, Long> = leaving.ownWords(nowMs)

    override fun workerLoads(nowMs: Long): Map<WorkerTag, SharedLoad> = sharedLoads.ownLoads(nowMs)

    override fun stalePeers(nowMs: Long): List<String> = fleet.stalePeers(nowMs)

    override fun isIsolated(nowMs: Long): Boolean = fleet.isIsolated(nowMs)

    override fun reportIntervalMs(): Long = fleet.reportIntervalMs()

    override fun lend(
        nowMs: Long,
        request: LoanRequest,
    ): LoanGrant? = rateLimiter.lend(nowMs, request)

    override fun onLoan(
        nowMs: Long,
        grant: LoanGrant,
    ) = rateLimiter.onLoan(nowMs, grant)

    override fun leave(nowMs: Long) = rateLimiter.leave(nowMs)
}

package io.kumquatmill.traffic.control

import io.kumquatmill.traffic.crash.CrashReport
import io.kumquatmill.traffic.fleet.ChangeSource
import io.kumquatmill.traffic.fleet.DirectoryAnswer
import io.kumquatmill.traffic.fleet.DirectorySelection
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.SharedLoad
import io.kumquatmill.traffic.fleet.WorkerLimitObservation
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.ratelimit.LoanGrant
import io.kumquatmill.traffic.ratelimit.LoanRequest

/** What the hosts of the fleet tell each other, and what this host knows of the others from it. */
interface PeerExchange {
    /** Applies the host records of the store. */
    fun updateHosts(
        nowMs: Long,
        hosts: Collection<EntryHostInfo>,
    )

    /** Applies a peer's report; returns false if it is outdated and was ignored. */
    fun onReport(
        nowMs: Long,
        report: PeerReport,
    ): Boolean

    /** Returns the time in milliseconds since a worker last responded to this host directly, or null if none has. */
    fun workerReachAgeMs(nowMs: Long): Long?

    /** Returns the number of peers that reach workers. */
    fun reachingPeerCount(nowMs: Long): Int

    /** Returns whether [ip] is the address of a known host of the fleet. */
    fun isHost(ip: String): Boolean

    /** Returns the time in milliseconds for which a host that asks the store itself collects changes before they are applied. */
    fun changeBatchMs(): Long

    /** Decides from where this host gets the changes of the store. */
    val changeSource: ChangeSource

    /** Returns the peers to which this host sends its reports. */
    fun peers(): List<EntryHostInfo>

    /** Returns the latest reports of the peers that are considered alive. */
    fun livePeers(nowMs: Long): List<PeerReport>

    /** Returns the hosts that callers of [region] should use; [isServing] states whether this host serves requests. */
    fun servingHosts(
        nowMs: Long,
        region: String,
        isServing: Boolean,
    ): List<EntryHostInfo>

    /** Returns the hosts that the caller at the address [callerIp] should use, see [servingHosts] and [DirectorySelection]. */
    fun directory(
        nowMs: Long,
        region: String,
        isServing: Boolean,
        callerIp: String,
    ): DirectoryAnswer

    /** Returns this host's demand by workspace, in requests per second, to be reported to peers. */
    fun demandPerS(nowMs: Long): Map<WorkspaceTag, Double>

    /** Returns the [peers] by the part of [demandPerS] that is reported to them. */
    fun demandByPeer(
        peers: List<EntryHostInfo>,
        demandPerS: Map<WorkspaceTag, Double>,
    ): Map<Map<WorkspaceTag, Double>, List<EntryHostInfo>>

    /** Returns this host's shares of the workspaces' rate limits in thousandths, to be reported to peers. */
    fun sharesPerMille(): Map<WorkspaceTag, Int>

    /** Returns this host's own observations of the rates that workers take, to be reported to peers. */
    fun workerLimits(nowMs: Long): Map<WorkerTag, WorkerLimitObservation>

    /** Returns what this host knows of requests under which workers have ended, to be reported to peers. */
    fun crashReport(nowMs: Long): CrashReport

    /** Returns the workers that have said to this host that they leave, with the time since then, to be reported to peers. */
    fun leavingWorkers(nowMs: Long): Map<WorkerTag, Long>

    /** Returns the loads that workers have lately reported to this host, to be reported to peers of its own region. */
    fun workerLoads(nowMs: Long): Map<WorkerTag, SharedLoad>

    /** Returns the names of the peers without a fresh report. */
    fun stalePeers(nowMs: Long): List<String>

    /** Returns whether this host has lost contact with so many peers that it uses only its even share of each rate limit. */
    fun isIsolated(nowMs: Long): Boolean

    /** Returns the time between two reports to peers in milliseconds. */
    fun reportIntervalMs(): Long

    /** Takes the tokens that this host lends for [request]; returns null if it has none to spare. */
    fun lend(
        nowMs: Long,
        request: LoanRequest,
    ): LoanGrant?

    /** Adds the tokens that a peer has lent. */
    fun onLoan(
        nowMs: Long,
        grant: LoanGrant,
    )

    /** Gives up this host's token pools, because it is about to stop. */
    fun leave(nowMs: Long)
}

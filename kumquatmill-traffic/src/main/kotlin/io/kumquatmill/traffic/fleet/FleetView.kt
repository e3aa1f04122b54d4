package io.kumquatmill.traffic.fleet

import kotlin.math.max
import kotlin.math.min

/**
 * The hosts of the fleet as seen by this host.
 *
 * The store provides the list of hosts, but only a host's own reports prove that it is alive. An outage of the store therefore
 * removes no host, and a failed host is soon no longer offered to callers.
 *
 * @property self this host
 * @param minFleetSize fleet size that is assumed as long as fewer hosts are known
 */
class FleetView(
    val self: EntryHostInfo,
    private val settings: FleetSettings = FleetSettings(),
    private val minFleetSize: Int = 1,
) {
    private class Peer(
        var record: EntryHostInfo,
        var firstSeenMs: Long,
    ) {
        var report: PeerReport? = null
        var reportedAtMs: Long? = null
    }

    /** Liveness of the peers at one time; requests of the same millisecond share it until a record or report changes. */
    private class CachedLiveness(
        val atMs: Long,
        val peers: List<PeerLiveness>,
    ) {
        val freshReports = peers.filterIsInstance<PeerLiveness.Fresh>().map { it.report }
    }

    /** Name of this host. */
    val selfName: String
        get() = self.host

    /** IP address of this host. */
    val selfIp: String
        get() = self.ip

    private val peers = LinkedHashMap<String, Peer>()
    private var liveness: CachedLiveness? = null
    private var startedAtMs: Long? = null

    /** Applies the host records of the store. A host without a record is removed once it has been silent for long enough. */
    fun updateHosts(
        nowMs: Long,
        hosts: Collection<EntryHostInfo>,
    ) {
        startTimeMs(nowMs)
        liveness = null
        hosts.filter { it.host != self.host }.forEach { record ->
            val peer = peers.getOrPut(record.host) { Peer(record, nowMs) }
            peer.record = record
        }
        val listed = hosts.mapTo(HashSet()) { it.host }
        peers.entries.removeIf { (name, peer) ->
            val hasLeft = peer.report?.isServing == false
            val retentionMs = if (hasLeft) settings.lostAfterMs else settings.forgetAfterMs
            name !in listed && nowMs - (peer.reportedAtMs ?: peer.firstSeenMs) > retentionMs
        }
    }

    /** Applies the [report] of a peer; returns false if it is older than the latest one and was ignored, or is this host's own. */
    fun onReport(
        nowMs: Long,
        report: PeerReport,
    ): Boolean {
        startTimeMs(nowMs)
        if (report.host == self.host) return false
        val record = report.sender
        val peer = peers.getOrPut(report.host) { Peer(record, nowMs) }
        val last = peer.report
        val isOutdated =
            last != null &&
                (report.incarnation < last.incarnation || (report.incarnation == last.incarnation && report.sequence <= last.sequence))
        if (isOutdated) return false
        liveness = null
        peer.record = record
        peer.report = report
        peer.reportedAtMs = nowMs
        return true
    }

    /** Returns the peers to which reports are sent, including silent ones. */
    fun peers(): List<EntryHostInfo> = peers.values.map { it.record }

    /** Returns the latest reports of the peers that are considered alive. */
    fun livePeers(nowMs: Long): List<PeerReport> = peers.values.filter { isLive(nowMs, it) }.mapNotNull { it.report }

    /** Returns the number of hosts in the fleet, alive or not, including this one. */
    fun size(): Int = max(minFleetSize, peers.size + 1)

    /** Returns the records of all known hosts, including this one. */
    fun hosts(): List<EntryHostInfo> = peers() + self

    /** Returns the names of all known hosts, including this one. */
    fun hostNames(): Set<String> = peers.keys + self.host

    /**
     * Returns whether this host has been in contact with at most half of the fleet, counting itself, for so long that the other
     * hosts may have redistributed its shares.
     */
    fun isIsolated(nowMs: Long): Boolean {
        val uptimeMs = nowMs - startTimeMs(nowMs)
        if (peers.isEmpty()) return minFleetSize > 1 && uptimeMs < settings.aloneAfterMs
        val inContact = 1 + peers.values.count { peer -> peer.reportedAtMs?.let { nowMs - it <= settings.isolatedAfterMs } ?: false }
        return inContact * 2 <= peers.size + 1
    }

    /** Returns the liveness of each peer. */
    fun peerLiveness(nowMs: Long): List<PeerLiveness> = livenessAt(nowMs).peers

    /** Returns the reports of the peers that are [PeerLiveness.Fresh]. */
    fun freshReports(nowMs: Long): List<PeerReport> = livenessAt(nowMs).freshReports

    private fun livenessAt(nowMs: Long): CachedLiveness =
        liveness?.takeIf { it.atMs == nowMs } ?: CachedLiveness(nowMs, evaluateLiveness(nowMs)).also { liveness = it }

    private fun evaluateLiveness(nowMs: Long): List<PeerLiveness> {
        val reports = peers.values.filter { isFresh(nowMs, it) }.mapNotNull { it.report }
        return peers.map { (name, peer) ->
            val report = peer.report
            val silentMs = nowMs - (peer.reportedAtMs ?: peer.firstSeenMs)
            when {
                report != null && isFresh(nowMs, peer) -> PeerLiveness.Fresh(report)
                silentMs <= settings.lostAfterMs || reports.any { name !in it.stalePeers } -> PeerLiveness.Silent(report)
                else -> PeerLiveness.Lost
            }
        }
    }

    /** Returns the names of the peers without a fresh report. */
    fun stalePeers(nowMs: Long): List<String> = peers.filterValues { !isFresh(nowMs, it) }.keys.toList()

    /** Returns the time between two reports of this host in milliseconds. */
    fun reportIntervalMs(): Long =
        if (size() <= settings.smallFleetMaxHosts) {
            settings.reportIntervalMs
        } else {
            (MILLIS_PER_SECOND * size() / settings.maxReportsPerS).coerceIn(
                settings.largeFleetReportIntervalMs,
                settings.maxReportIntervalMs,
            )
        }

    /** Returns the time in milliseconds for which changes of the store are collected before they are applied. */
    fun changeBatchMs(): Long =
        if (size() <= settings.smallFleetMaxHosts) {
            settings.changeBatchMs
        } else {
            min(settings.changeBatchPerHostMs * size(), settings.maxChangeBatchMs)
        }

    /**
     * Returns the live, serving hosts of [region], or of all regions if it has none; hosts that are cut off from all workers are left out
     * unless all are.
     *
     * @param isServing whether this host serves
     * @param isCutOff whether this host is cut off from all workers
     */
    fun servingHosts(
        nowMs: Long,
        region: String,
        isServing: Boolean,
        isCutOff: Boolean = false,
    ): List<EntryHostInfo> {
        val live =
            peers.values
                .filter { isLive(nowMs, it) }
                .mapNotNull { it.report }
                .filter { it.isServing }
        val reaching = live.filterNot { it.isCutOff }.map { it.sender } + listOf(self).filter { isServing && !isCutOff }
        val all = reaching.ifEmpty { live.map { it.sender } + listOf(self).filter { isServing } }
        return all.filter { it.region == region }.ifEmpty { all }
    }

    /** Returns the serving peers with a fresh report that have reached workers directly and are not cut off from them. */
    fun reachingPeers(nowMs: Long): List<ReachingPeer> =
        peers.values.filter { isFresh(nowMs, it) }.mapNotNull { peer ->
            val report = peer.report?.takeIf { it.isServing && !it.isCutOff }
            val reportAgeMs = nowMs - (peer.reportedAtMs ?: nowMs)
            report?.workerReachAgeMs?.let { ReachingPeer(report, it + reportAgeMs) }
        }

    /** Returns the time of the first call, which counts as this host's start. */
    private fun startTimeMs(nowMs: Long): Long = startedAtMs ?: nowMs.also { startedAtMs = it }

    private fun isFresh(
        nowMs: Long,
        peer: Peer,
    ): Boolean = peer.reportedAtMs?.let { nowMs - it <= reportIntervalMs() * settings.freshIntervals } ?: false

    private fun isLive(
        nowMs: Long,
        peer: Peer,
    ): Boolean {
        val liveMs = min(reportIntervalMs() * settings.liveIntervals, settings.maxLiveMs.toDouble())
        return peer.reportedAtMs?.let { nowMs - it <= liveMs } ?: false
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}

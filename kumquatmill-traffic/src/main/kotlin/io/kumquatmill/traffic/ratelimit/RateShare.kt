package io.kumquatmill.traffic.ratelimit

import io.kumquatmill.traffic.fleet.PeerLiveness
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkspaceTag
import kotlin.math.max
import kotlin.math.min

/**
 * The share of one workspace's rate limit that this host may use.
 *
 * The share follows this host's part of the demand at all hosts. It is raised only by capacity that no peer claimed in its latest
 * report, and lowered when a peer needs capacity that this host holds in excess. The shares of all hosts therefore never add up to
 * more than one, whatever network partition occurs: a host that is cut off from most of the fleet does not raise its share while a
 * peer is silent. Its peers account for its share until it must have given it up; it then falls back to its even share, which no
 * other host uses.
 */
internal class RateShare(
    private val workspace: WorkspaceTag,
    private val settings: RateLimitSettings,
) {
    /** Fraction of the rate limit, from 0 to 1. */
    var value: Double = 0.0
        private set

    /** Demand in requests per second as last reported to peers, so that all hosts compute with the same value. */
    var reportedDemandPerS: Double = 0.0

    private var raisedAtMs = Long.MIN_VALUE / 2

    /**
     * Recomputes the share of a rate of [ratePerS] in a fleet of [hosts] hosts, given the liveness of all [peers].
     *
     * @param poolDemand demand on the pool hosts, which alone have shares, or null if every host has one
     */
    fun update(
        nowMs: Long,
        ratePerS: Double,
        hosts: Int,
        peers: List<PeerLiveness>,
        isIsolated: Boolean,
        raiseIntervalMs: Long,
        poolDemand: PoolDemand? = null,
    ) {
        val evenShare = settings.evenFraction / hosts
        if (isIsolated) {
            value = evenShare
            return
        }
        if (poolDemand != null && poolDemand.ownPerS == null) {
            value = 0.0
            return
        }
        val freshReports = peers.filterIsInstance<PeerLiveness.Fresh>().map { it.report }
        val pool = max(0.0, 1 - peers.sumOf { shareWithoutReport(it, evenShare) })
        val idlePerS = ratePerS * settings.idleFraction / hosts
        val demands =
            freshReports.map { report ->
                if (poolDemand == null) (report.demandPerS[workspace] ?: 0.0) + idlePerS else poolDemand.peerPerS[report.host] ?: 0.0
            }
        val ownDemand = poolDemand?.ownPerS ?: (reportedDemandPerS + idlePerS)
        val sharePerDemand = pool / (demands.sum() + ownDemand)
        val allocations =
            freshReports.mapIndexed { index, report ->
                val target = demands[index] * sharePerDemand
                val need = min(target, demands[index] * settings.headroom / ratePerS)
                val unreportedShare = if (poolDemand == null) min(target, settings.idleFraction / hosts) else 0.0
                PeerAllocation(target, need, share = shareOf(report) ?: unreportedShare)
            }
        val target = ownDemand * sharePerDemand
        val unclaimed = pool - allocations.sumOf { it.share } - value
        if (target > value) {
            val isInMajority = (freshReports.size + 1) * 2 > hosts
            val mayRaise = isInMajority || peers.none { it is PeerLiveness.Silent }
            if (mayRaise && nowMs - raisedAtMs >= raiseIntervalMs) raise(nowMs, target, unclaimed, allocations)
        } else {
            lower(target, unclaimed, allocations)
        }
    }

    private class PeerAllocation(
        val target: Double,
        val need: Double,
        val share: Double,
    )

    private fun raise(
        nowMs: Long,
        target: Double,
        unclaimed: Double,
        peers: List<PeerAllocation>,
    ) {
        if (unclaimed <= 0) return
        val wanted = peers.sumOf { max(0.0, it.target - it.share) } + target - value
        value += min(target - value, unclaimed * (target - value) / wanted)
        raisedAtMs = nowMs
    }

    /** Gives up what peers need beyond the unclaimed capacity, in proportion to each host's excess over its target. */
    private fun lower(
        target: Double,
        unclaimed: Double,
        peers: List<PeerAllocation>,
    ) {
        val missing = peers.sumOf { max(0.0, it.need - it.share) } - unclaimed
        if (missing <= 0 || target == value) return
        val excess = peers.sumOf { max(0.0, it.share - it.target) } + value - target
        value -= min(value - target, missing * (value - target) / excess)
    }

    /** Returns the share that a peer without a fresh report may use; 0 for a peer with one. */
    private fun shareWithoutReport(
        peer: PeerLiveness,
        evenShare: Double,
    ): Double =
        when (peer) {
            is PeerLiveness.Fresh -> 0.0
            is PeerLiveness.Silent -> max(evenShare, peer.report?.let { shareOf(it) } ?: 0.0)
            is PeerLiveness.Lost -> evenShare
        }

    private fun shareOf(report: PeerReport): Double? = report.sharesPerMille[workspace]?.let { it / PER_MILLE }

    companion object {
        /** Reports state shares in thousandths. */
        const val PER_MILLE: Double = 1_000.0
    }
}

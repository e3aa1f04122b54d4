package io.kumquatmill.traffic.ratelimit

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.limits.bucket.TokenBucket
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.PeerLiveness
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.model.Workspace
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min
import kotlin.math.round

/**
 * Distributed rate limiter that keeps each workspace within its rate and burst over all hosts, without a network call per request.
 *
 * A workspace's callers use few hosts and move between them. Each host therefore uses a [RateShare] of the rate and burst, and
 * borrows tokens from peers that do not need them until its share has adapted.
 *
 * @param sendLoanRequest sends a loan request to a peer
 */
class WorkspaceRateLimiter(
    private val fleet: FleetView,
    private val settings: RateLimitSettings = RateLimitSettings(),
    private val sendLoanRequest: (LoanRequest) -> Unit = { },
) {
    private inner class WorkspaceLimit(
        var workspace: Workspace,
        val bucket: TokenBucket,
        val share: RateShare,
    ) {
        val tag = WorkspaceTag.of(workspace.id)

        /** Whether reports can't tell this workspace from another one; each host then uses its even share without reporting it. */
        var isTagAmbiguous = false
        val demand = DemandMeter()
        val borrowed = BorrowedTokens(settings)
        var updatedAtMs = Long.MIN_VALUE
    }

    private val limits = HashMap<WorkspaceId, WorkspaceLimit>()
    private var lastLoanRequestNumber = 0L

    /** Applies the workspaces of a new desired state. Buckets keep their tokens, up to their new capacity. */
    fun update(
        nowMs: Long,
        workspaces: Collection<Workspace>,
    ) {
        val limited = workspaces.filter { it.ratePerS > 0 }.associateBy { it.id }
        limits.keys.retainAll(limited.keys)
        limited.values.forEach { workspace ->
            val limit =
                limits.getOrPut(workspace.id) {
                    WorkspaceLimit(workspace, TokenBucket(0.0, 0.0, nowMs), RateShare(WorkspaceTag.of(workspace.id), settings))
                }
            limit.workspace = workspace
        }
        val limitsByTag = limits.values.groupBy { it.tag }
        limits.values.forEach { it.isTagAmbiguous = limitsByTag.getValue(it.tag).size > 1 }
        rebalance(nowMs)
    }

    /** Recomputes all shares from the latest reports of the peers. */
    fun rebalance(nowMs: Long) {
        val peers = fleet.peerLiveness(nowMs)
        val isIsolated = fleet.isIsolated(nowMs)
        limits.values.forEach { rebalance(nowMs, it, peers, isIsolated) }
    }

    /** Takes a token for a request of [workspace]; always succeeds for a workspace without a rate limit. */
    fun take(
        nowMs: Long,
        workspace: WorkspaceId,
    ): RateLimitDecision {
        val limit = limits[workspace] ?: return RateLimitDecision.Granted
        limit.demand.count(nowMs)
        if (nowMs - limit.updatedAtMs > settings.staleAfterMs) rebalance(nowMs)
        val isTaken = tryTake(nowMs, limit)
        requestLoans(nowMs, limit)
        return when {
            isTaken -> RateLimitDecision.Granted
            mayReceiveLoan(nowMs, limit) -> RateLimitDecision.Pending(settings.loanWaitMs)
            else -> refused(nowMs, limit)
        }
    }

    /** Tries again for a request of [workspace] that was [RateLimitDecision.Pending]; it is either granted or refused. */
    fun takeAfterWait(
        nowMs: Long,
        workspace: WorkspaceId,
    ): RateLimitDecision {
        val limit = limits[workspace] ?: return RateLimitDecision.Granted
        return if (tryTake(nowMs, limit)) RateLimitDecision.Granted else refused(nowMs, limit)
    }

    /** Takes spare tokens for [request] out of this host's bucket; returns null if there are none to lend. */
    fun lend(
        nowMs: Long,
        request: LoanRequest,
    ): LoanGrant? {
        val limit = limits[WorkspaceId(request.workspace)]
        if (limit == null || request.lender != fleet.selfName) return null
        limit.bucket.refill(nowMs)
        val spare = limit.bucket.level - reserve(nowMs, limit)
        val tokens = floor(min(request.tokens, spare))
        if (tokens < 1) return null
        return LoanGrant(request.lender, request.workspace, limit.bucket.withdraw(nowMs, tokens), request.number)
    }

    /** Adds the tokens that a peer has lent. */
    fun onLoan(
        nowMs: Long,
        grant: LoanGrant,
    ) {
        limits[WorkspaceId(grant.workspace)]?.borrowed?.onGrant(nowMs, grant)
    }

    /** Returns the token of a request that was not executed. */
    fun refund(
        nowMs: Long,
        workspace: WorkspaceId,
    ) {
        limits[workspace]?.bucket?.deposit(nowMs, 1.0)
    }

    /** Returns this host's demand by workspace, in requests per second, to be reported to peers; workspaces without any are left out. */
    fun demandPerS(nowMs: Long): Map<WorkspaceTag, Double> {
        limits.values.forEach { it.share.reportedDemandPerS = round(it.demand.ratePerS(nowMs) * TENTHS) / TENTHS }
        return reportedLimits().associate { it.tag to it.share.reportedDemandPerS }.filterValues { it > 0 }
    }

    /** Returns this host's shares in thousandths, to be reported to peers; idle shares of workspaces without demand are left out. */
    fun sharesPerMille(): Map<WorkspaceTag, Int> {
        val idleShare = settings.idleFraction / fleet.size()
        return reportedLimits()
            .filter { it.share.reportedDemandPerS > 0 || it.share.value > idleShare }
            .associate { it.tag to ceil(it.share.value * RateShare.PER_MILLE).toInt() }
    }

    private fun reportedLimits(): List<WorkspaceLimit> = limits.values.filterNot { it.isTagAmbiguous }

    private fun tryTake(
        nowMs: Long,
        limit: WorkspaceLimit,
    ): Boolean = limit.bucket.tryTake(nowMs, 1.0) || limit.borrowed.tryTake(nowMs)

    private fun refused(
        nowMs: Long,
        limit: WorkspaceLimit,
    ) = RateLimitDecision.Refused(limit.bucket.timeUntilAvailableMs(nowMs, 1.0) ?: NO_TOKENS_RETRY_AFTER_MS)

    /** Returns whether a loan request is pending and peers are likely to have tokens. */
    private fun mayReceiveLoan(
        nowMs: Long,
        limit: WorkspaceLimit,
    ): Boolean {
        val workspace = limit.workspace
        val peerDemandPerS = freshReports(nowMs).sumOf { it.demandPerS[limit.tag] ?: 0.0 }
        val isFarAboveRate = limit.demand.ratePerS(nowMs) + peerDemandPerS > workspace.ratePerS * settings.noLoanDemandFactor
        return !isFarAboveRate && limit.borrowed.hasPendingRequest(nowMs)
    }

    private fun freshReports(nowMs: Long): List<PeerReport> =
        fleet.peerLiveness(nowMs).filterIsInstance<PeerLiveness.Fresh>().map { it.report }

    /** Returns the tokens that cover the demand on [limit] for [RateLimitSettings.reserveMs], the time that a loan may take. */
    private fun reserve(
        nowMs: Long,
        limit: WorkspaceLimit,
    ): Double = limit.demand.ratePerS(nowMs) * settings.reserveMs / MILLIS_PER_SECOND

    /** Requests loans when tokens run short; peers with spare capacity are asked in turn. */
    private fun requestLoans(
        nowMs: Long,
        limit: WorkspaceLimit,
    ) {
        val needed = max(1.0, reserve(nowMs, limit))
        if (limit.bucket.level + limit.borrowed.available(nowMs) >= needed || !limit.borrowed.mayRequest(nowMs)) return
        val workspace = limit.workspace
        freshReports(nowMs)
            .filter { sparePerS(it, limit) > 0 }
            .sortedBy { limit.borrowed.lastRequestTo(it.host) }
            .take(settings.lenders)
            .forEach { report ->
                val number = ++lastLoanRequestNumber
                limit.borrowed.onRequested(nowMs, number, report.host)
                sendLoanRequest(LoanRequest(fleet.selfName, fleet.selfIp, report.host, workspace.id.value, ceil(needed), number))
            }
    }

    /** Returns the requests per second that a peer may admit beyond its demand. */
    private fun sparePerS(
        report: PeerReport,
        limit: WorkspaceLimit,
    ): Double {
        val share = report.sharesPerMille[limit.tag]?.let { it / RateShare.PER_MILLE } ?: (settings.idleFraction / fleet.size())
        return share * limit.workspace.ratePerS - (report.demandPerS[limit.tag] ?: 0.0)
    }

    private fun rebalance(
        nowMs: Long,
        limit: WorkspaceLimit,
        peers: List<PeerLiveness>,
        isIsolated: Boolean,
    ) {
        val workspace = limit.workspace
        limit.share.update(
            nowMs = nowMs,
            ratePerS = workspace.ratePerS,
            hosts = fleet.size(),
            peers = peers,
            isIsolated = isIsolated || limit.isTagAmbiguous,
            raiseIntervalMs = settings.raiseIntervalReports * fleet.reportIntervalMs(),
        )
        limit.updatedAtMs = nowMs
        val share = limit.share.value
        val extraTokens = (settings.extraTokens / fleet.size()).coerceIn(1.0, MAX_EXTRA_TOKENS)
        limit.bucket.rescale(nowMs, share * workspace.ratePerS, share * workspace.burst * settings.burstFraction + extraTokens)
    }

    private companion object {
        /** Retry time for a bucket that is never refilled far enough. */
        const val NO_TOKENS_RETRY_AFTER_MS = 1_000L
        const val MILLIS_PER_SECOND = 1_000.0
        const val MAX_EXTRA_TOKENS = 2.0

        /** Demand is reported in tenths of a request per second. */
        const val TENTHS = 10.0
    }
}

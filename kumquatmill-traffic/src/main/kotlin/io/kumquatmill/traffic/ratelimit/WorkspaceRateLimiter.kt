package io.kumquatmill.traffic.ratelimit

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.limits.bucket.TokenBucket
import io.kumquatmill.traffic.fleet.EntryHostInfo
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
 * borrows tokens from peers that do not need them until its share has adapted. If the rate is too low to be divided among all hosts,
 * only its [TokenPools] have shares, and the other hosts borrow a token for each request.
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
        val demand: DemandMeter = DemandMeter(),
        val borrowed: BorrowedTokens = BorrowedTokens(settings),
        val isCopy: Boolean = false,
    ) {
        val tag = WorkspaceTag.of(workspace.id)
        var updatedAtMs = Long.MIN_VALUE
        var hasHadShare = false
        var isPoolHost = false

        /** Demand at all hosts as a fraction of the rate, as last heard from a pool host. */
        var heardLoadFactor = 0.0
        var heardLoadFactorAtMs = Long.MIN_VALUE / 2

        /** Returns a copy, on which a decision can be made that takes no tokens and sends no loan requests. */
        fun copyAt(nowMs: Long): WorkspaceLimit =
            WorkspaceLimit(workspace, bucket.copyAt(nowMs), share, demand.copy(), borrowed.copy(), isCopy = true).also {
                it.isPoolHost = isPoolHost
                it.heardLoadFactor = heardLoadFactor
                it.heardLoadFactorAtMs = heardLoadFactorAtMs
            }
    }

    private val limits = HashMap<WorkspaceId, WorkspaceLimit>()

    /** Limits by tag, without those that share one: reports can't tell them apart, so each host uses its even share of them unreported. */
    private var reportedLimits: Map<WorkspaceTag, WorkspaceLimit> = emptyMap()
    private var lastLoanRequestNumber = 0L
    private var pools = TokenPools(setOf(fleet.self), fleet.self)
    private var isLeaving = false
    private var startedAtMs: Long? = null

    /** Applies the workspaces of a new desired state. Buckets keep their tokens, up to their new capacity. */
    fun update(
        nowMs: Long,
        workspaces: Collection<Workspace>,
    ) {
        if (startedAtMs == null) startedAtMs = nowMs
        val limited = workspaces.filter { it.ratePerS > 0 }.associateBy { it.id }
        limits.keys.retainAll(limited.keys)
        limited.values.forEach { workspace ->
            val limit =
                limits.getOrPut(workspace.id) {
                    WorkspaceLimit(workspace, TokenBucket(0.0, 0.0, nowMs), RateShare(WorkspaceTag.of(workspace.id), settings))
                }
            limit.workspace = workspace
        }
        reportedLimits =
            limits.values
                .groupBy { it.tag }
                .filterValues { it.size == 1 }
                .mapValues { (_, withTag) -> withTag.single() }
        rebalance(nowMs)
    }

    /** Recomputes all shares from the latest reports of the peers. */
    fun rebalance(nowMs: Long) {
        val peers = fleet.peerLiveness(nowMs)
        val isIsolated = fleet.isIsolated(nowMs)
        val reports = fleet.freshReports(nowMs)
        val servingHosts = reports.filter { it.isServing }.mapTo(HashSet()) { it.sender }
        if (!isLeaving || servingHosts.isEmpty()) servingHosts += fleet.self
        if (servingHosts != pools.hosts) pools = TokenPools(servingHosts, fleet.self)
        limits.values.forEach { rebalance(nowMs, it, peers, reports, isIsolated) }
    }

    /** Gives up this host's token pools, because it is about to stop; the next reports tell the peers so. */
    fun leave(nowMs: Long) {
        isLeaving = true
        rebalance(nowMs)
    }

    /**
     * Takes a token for a request of [workspace]; always succeeds for a workspace without a rate limit.
     *
     * @param maxWaitMs time that the request may wait for the next token, if the workspace keeps to its rate
     */
    fun take(
        nowMs: Long,
        workspace: WorkspaceId,
        maxWaitMs: Long = 0,
    ): RateLimitDecision {
        val limit = limits[workspace] ?: return RateLimitDecision.Granted
        limit.demand.count(nowMs)
        if (nowMs - limit.updatedAtMs > settings.staleAfterMs) rebalance(nowMs)
        return takeFrom(nowMs, limit, maxWaitMs)
    }

    /**
     * Returns what [take] would return, without taking a token, counting demand or asking for a loan. It uses the shares as of the last
     * [rebalance], also if that was long ago.
     */
    fun preview(
        nowMs: Long,
        workspace: WorkspaceId,
        maxWaitMs: Long = 0,
    ): RateLimitDecision {
        val limit = limits[workspace]?.copyAt(nowMs) ?: return RateLimitDecision.Granted
        limit.demand.count(nowMs)
        return takeFrom(nowMs, limit, maxWaitMs)
    }

    /** Returns the tokens of [workspace] that this host has now, borrowed ones included; null for a workspace without a rate limit. */
    fun remainingTokens(
        nowMs: Long,
        workspace: WorkspaceId,
    ): Double? = limits[workspace]?.let { it.bucket.peekLevel(nowMs) + it.borrowed.available(nowMs) }

    private fun takeFrom(
        nowMs: Long,
        limit: WorkspaceLimit,
        maxWaitMs: Long,
    ): RateLimitDecision {
        val isTaken = tryTake(nowMs, limit)
        if (isPooled(limit)) return if (isTaken) RateLimitDecision.Granted else requestFromPool(nowMs, limit, previousWaits = 0, maxWaitMs)
        requestLoans(nowMs, limit)
        return when {
            isTaken -> RateLimitDecision.Granted
            mayReceiveLoan(nowMs, limit) -> RateLimitDecision.Pending(settings.loanWaitMs)
            else -> waitOrRefuse(nowMs, limit, maxWaitMs)
        }
    }

    /**
     * Tries again for a request of [workspace] that was [RateLimitDecision.Pending] the last [waits] times. It stays pending as long as
     * there is another pool host to ask, or as it may wait for [maxWaitMs] more.
     */
    fun takeAfterWait(
        nowMs: Long,
        workspace: WorkspaceId,
        waits: Int = 1,
        maxWaitMs: Long = 0,
    ): RateLimitDecision {
        val limit = limits[workspace] ?: return RateLimitDecision.Granted
        return when {
            tryTake(nowMs, limit) -> RateLimitDecision.Granted
            isPooled(limit) -> requestFromPool(nowMs, limit, waits, maxWaitMs)
            else -> waitOrRefuse(nowMs, limit, maxWaitMs)
        }
    }

    /**
     * Takes spare tokens for [request] out of this host's bucket. Without any it returns null, or a grant of none if tokens are pooled,
     * so that the borrower asks the next pool host.
     */
    fun lend(
        nowMs: Long,
        request: LoanRequest,
    ): LoanGrant? {
        val limit = limits[WorkspaceId(request.workspace)]
        if (limit == null || request.lender != fleet.selfName) return null
        limit.bucket.refill(nowMs)
        val spare = limit.bucket.level - if (isPooled(limit)) 0.0 else reserve(nowMs, limit)
        val tokens = floor(min(request.tokens, spare))
        if (tokens < 1 && !isPooled(limit)) return null
        val lent = if (tokens < 1) 0.0 else limit.bucket.withdraw(nowMs, tokens)
        return LoanGrant(request.lender, request.workspace, lent, request.number, loadFactor(nowMs, limit))
    }

    /** Adds the tokens that a peer has lent. */
    fun onLoan(
        nowMs: Long,
        grant: LoanGrant,
    ) {
        val limit = limits[WorkspaceId(grant.workspace)] ?: return
        limit.borrowed.onGrant(nowMs, grant)
        limit.heardLoadFactor = grant.loadFactor
        limit.heardLoadFactorAtMs = nowMs
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
        return reportedLimits.mapValues { (_, limit) -> limit.share.reportedDemandPerS }.filterValues { it > 0 }
    }

    /**
     * Returns the [peers] by the part of [demandPerS] that is reported to them. The demand of a workspace whose tokens are pooled concerns
     * its pool hosts only; reports of a large fleet would otherwise consist of little else. All but the pool hosts get the same part, so
     * that a report is encoded only a few times for a large fleet.
     */
    fun demandByPeer(
        peers: List<EntryHostInfo>,
        demandPerS: Map<WorkspaceTag, Double>,
    ): Map<Map<WorkspaceTag, Double>, List<EntryHostInfo>> {
        val limits = demandPerS.keys.mapNotNull { reportedLimits[it] }
        val (pooled, divided) = limits.partition { isPooled(it) }
        val forAll = divided.mapTo(HashSet()) { it.tag }
        val tagsByPoolHost = HashMap<String, MutableSet<WorkspaceTag>>()
        pooled.forEach { limit ->
            pools.of(limit.workspace.id).forEach { tagsByPoolHost.getOrPut(it.host) { HashSet() } += limit.tag }
        }
        return peers
            .groupBy { tagsByPoolHost[it.host] }
            .entries
            .associate { (tags, group) ->
                demandPerS.filterKeys { it in forAll || (tags != null && it in tags) } to group
            }
    }

    /** Returns this host's shares in thousandths, to be reported to peers; idle shares of workspaces without demand are left out. */
    fun sharesPerMille(): Map<WorkspaceTag, Int> {
        val idleShare = settings.idleFraction / fleet.size()
        return reportedLimits
            .filterValues { limit ->
                val isIdle = limit.share.reportedDemandPerS <= 0 && limit.share.value <= idleShare
                if (isPooled(limit)) limit.share.value > 0 else !isIdle
            }.mapValues { (_, limit) -> ceil(limit.share.value * RateShare.PER_MILLE).toInt() }
    }

    private fun isReported(limit: WorkspaceLimit): Boolean = limit.tag in reportedLimits

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
    ): Boolean = !isFarAboveRate(nowMs, limit) && limit.borrowed.hasPendingRequest(nowMs)

    /** Returns whether the demand at all hosts is so far above the rate that no host can have tokens to lend. */
    private fun isFarAboveRate(
        nowMs: Long,
        limit: WorkspaceLimit,
    ): Boolean = loadFactor(nowMs, limit) > settings.noLoanDemandFactor

    /** Returns the demand at all hosts as a fraction of the rate. If tokens are pooled, only pool hosts know all of it. */
    private fun loadFactor(
        nowMs: Long,
        limit: WorkspaceLimit,
    ): Double {
        val demandPerS = limit.demand.ratePerS(nowMs) + fleet.freshReports(nowMs).sumOf { it.demandPerS[limit.tag] ?: 0.0 }
        val known = demandPerS / limit.workspace.ratePerS
        val isHeardValid = isPooled(limit) && !limit.isPoolHost && nowMs - limit.heardLoadFactorAtMs <= settings.loanTtlMs
        return if (isHeardValid) max(known, limit.heardLoadFactor) else known
    }

    /** Returns whether the rate is too low to be divided among all hosts. */
    private fun isPooled(limit: WorkspaceLimit): Boolean =
        isReported(limit) && limit.workspace.ratePerS < settings.pooledBelowPerHostPerS * fleet.size()

    /**
     * Asks the pool hosts for a token, one after the other; [previousWaits] of them have not lent one. While the demand is far above the
     * rate, only the first one is asked, and seldom, for the tokens of all requests that arrive in the meantime.
     */
    private fun requestFromPool(
        nowMs: Long,
        limit: WorkspaceLimit,
        previousWaits: Int,
        maxWaitMs: Long,
    ): RateLimitDecision {
        val lenders = lendersOfPool(limit)
        val isFarAboveRate = isFarAboveRate(nowMs, limit)
        val mayAsk = !isFarAboveRate || (previousWaits == 0 && limit.borrowed.mayRequest(nowMs))
        val turn = previousWaits % (lenders.size + 1)
        val lender = if (mayAsk) lenders.getOrNull(turn) else null
        if (lender == null || (previousWaits > lenders.size && maxWaitMs <= 0)) {
            // The last pool host that was asked may answer late.
            val pendingMs = if (!isFarAboveRate && previousWaits == lenders.size) limit.borrowed.pendingMs(nowMs) else 0
            return if (pendingMs > 0) RateLimitDecision.Pending(pendingMs) else waitOrRefuse(nowMs, limit, maxWaitMs)
        }
        val tokens = if (isFarAboveRate) limit.demand.ratePerS(nowMs) * settings.loanRequestIntervalMs / MILLIS_PER_SECOND else 1.0
        requestLoan(nowMs, limit, lender.host, max(1.0, floor(tokens)))
        val isInOwnRegion = lender.region == fleet.self.region
        return RateLimitDecision.Pending(if (isInOwnRegion) settings.ownRegionLoanWaitMs else settings.loanWaitMs)
    }

    /** Lets a request wait for the next token if its workspace keeps to its rate, and refuses it otherwise. */
    private fun waitOrRefuse(
        nowMs: Long,
        limit: WorkspaceLimit,
        maxWaitMs: Long,
    ): RateLimitDecision {
        val isStarting = nowMs - (startedAtMs ?: nowMs) < settings.startingMs
        val mayWait = maxWaitMs >= settings.tokenRetryMs && (isStarting || loadFactor(nowMs, limit) <= 1)
        return if (mayWait) RateLimitDecision.Pending(settings.tokenRetryMs) else refused(nowMs, limit)
    }

    private fun lendersOfPool(limit: WorkspaceLimit): List<EntryHostInfo> =
        pools.of(limit.workspace.id).filter { it.host != fleet.selfName }

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
        fleet
            .freshReports(nowMs)
            .filter { sparePerS(it, limit) > 0 }
            .sortedBy { limit.borrowed.lastRequestTo(it.host) }
            .take(settings.lenders)
            .forEach { report -> requestLoan(nowMs, limit, report.host, ceil(needed)) }
    }

    private fun requestLoan(
        nowMs: Long,
        limit: WorkspaceLimit,
        lender: String,
        tokens: Double,
    ) {
        val number = lastLoanRequestNumber + 1
        limit.borrowed.onRequested(nowMs, number, lender)
        if (limit.isCopy) return
        lastLoanRequestNumber = number
        sendLoanRequest(LoanRequest(fleet.selfName, fleet.selfIp, lender, limit.workspace.id.value, tokens, number))
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
        reports: List<PeerReport>,
        isIsolated: Boolean,
    ) {
        val workspace = limit.workspace
        val isEvenShare = isIsolated || !isReported(limit)
        val poolDemand = if (isPooled(limit)) poolDemand(limit, reports) else null
        limit.isPoolHost = poolDemand?.ownPerS != null
        limit.share.update(
            nowMs = nowMs,
            ratePerS = workspace.ratePerS,
            hosts = fleet.size(),
            peers = peers,
            isIsolated = isEvenShare,
            raiseIntervalMs = settings.raiseIntervalReports * fleet.reportIntervalMs(),
            poolDemand = poolDemand,
        )
        limit.updatedAtMs = nowMs
        val share = limit.share.value
        val extraTokens =
            when {
                poolDemand == null || isEvenShare -> (settings.extraTokens / fleet.size()).coerceIn(1.0, MAX_EXTRA_TOKENS)
                poolDemand.ownPerS == null -> 0.0
                else -> settings.extraTokens / (poolDemand.peerPerS.size + 1)
            }
        limit.bucket.rescale(nowMs, share * workspace.ratePerS, share * workspace.burst * settings.burstFraction + extraTokens)
        if (!limit.hasHadShare && share > 0 && !isEvenShare) addStartTokens(nowMs, limit)
    }

    /** Adds this host's part of the tokens that all hosts start with, when it gets its first share soon after its start. */
    private fun addStartTokens(
        nowMs: Long,
        limit: WorkspaceLimit,
    ) {
        limit.hasHadShare = true
        if (nowMs - (startedAtMs ?: nowMs) > settings.startWithinMs) return
        val workspace = limit.workspace
        val tokens =
            workspace.ratePerS * settings.startRateMs / MILLIS_PER_SECOND +
                workspace.burst * settings.startBurstFraction +
                settings.startExtraTokens
        limit.bucket.deposit(nowMs, limit.share.value * tokens)
    }

    /** Returns the demand on each pool host: that of its region, and a part of the rate so that first requests are admitted. */
    private fun poolDemand(
        limit: WorkspaceLimit,
        reports: List<PeerReport>,
    ): PoolDemand {
        val poolHosts = pools.of(limit.workspace.id)
        // A host outside the pool has no share, whatever the demand is, and most hosts of a large fleet are outside most pools.
        if (poolHosts.none { it.host == fleet.selfName }) return PoolDemand(ownPerS = null, peerPerS = emptyMap())
        val idlePerS = limit.workspace.ratePerS * settings.idleFraction / poolHosts.size
        val demandByRegion = HashMap<String, Double>()
        demandByRegion[fleet.self.region] = limit.share.reportedDemandPerS
        reports.forEach { report -> demandByRegion.merge(report.region, report.demandPerS[limit.tag] ?: 0.0, Double::plus) }
        val demandByHost = poolHosts.associate { it.host to idlePerS + (demandByRegion[it.region] ?: 0.0) }
        return PoolDemand(ownPerS = demandByHost[fleet.selfName], peerPerS = demandByHost - fleet.selfName)
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

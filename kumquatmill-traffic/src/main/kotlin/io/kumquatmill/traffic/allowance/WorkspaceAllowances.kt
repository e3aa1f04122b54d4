package io.kumquatmill.traffic.allowance

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.limits.bucket.TokenBucket
import io.kumquatmill.traffic.fleet.FleetBook
import io.kumquatmill.traffic.model.Workspace
import kotlin.math.max
import kotlin.math.min

/**
 * Keeps each workspace within its rate and burst over all hosts together, without a call for each request.
 *
 * Pattern answered: a workspace's callers meet few hosts, and move. Each host spends its share of the rate: an even part that is
 * its own, and a part in proportion to its demand among the demands that hosts report. A silent host keeps its share for a while,
 * on both sides of a cut, and falls back to the even part before the others give the rest away.
 */
class WorkspaceAllowances(
    private val fleet: FleetBook,
    private val settings: AllowanceSettings = AllowanceSettings(),
) {
    private class Account(
        var workspace: Workspace,
        val bucket: TokenBucket,
    ) {
        val demand = DemandMeter()
        var share = 0.0
    }

    private val accounts = HashMap<WorkspaceId, Account>()

    /** Takes the workspaces of a new desired state; tokens are kept, and clipped where a limit falls. */
    fun update(
        nowMs: Long,
        workspaces: Collection<Workspace>,
    ) {
        val limited = workspaces.filter { it.ratePerS > 0 }.associateBy { it.id }
        accounts.keys.retainAll(limited.keys)
        limited.values.forEach { workspace ->
            val account = accounts.getOrPut(workspace.id) { Account(workspace, TokenBucket(0.0, 0.0, nowMs)) }
            account.workspace = workspace
        }
        rebalance(nowMs)
    }

    /** Sets the shares anew from the demands that are known now. */
    fun rebalance(nowMs: Long) = accounts.values.forEach { rebalance(nowMs, it) }

    /** Takes one request off the allowance of [workspace]; returns null, or the time in ms after which there is room again. */
    fun take(
        nowMs: Long,
        workspace: WorkspaceId,
    ): Long? {
        val account = accounts[workspace] ?: return null
        account.demand.count(nowMs)
        if (account.bucket.tryTake(nowMs, 1.0)) return null
        return account.bucket.timeUntilAvailableMs(nowMs, 1.0) ?: NO_ROOM_MS
    }

    /** Gives back the token of a request that has not run. */
    fun giveBack(
        nowMs: Long,
        workspace: WorkspaceId,
    ) {
        accounts[workspace]?.bucket?.deposit(nowMs, 1.0)
    }

    /** Demand of each limited workspace at this host, in whole requests a second. */
    fun demandPerS(nowMs: Long): Map<String, Int> =
        accounts.entries
            .associate { (id, account) ->
                id.value to
                    account.demand
                        .ratePerS(nowMs)
                        .plus(ROUND_UP)
                        .toInt()
            }.filterValues { it > 0 }

    private fun rebalance(
        nowMs: Long,
        account: Account,
    ) {
        val workspace = account.workspace
        val hosts = fleet.size()
        val idlePerS = settings.idleDemand * workspace.ratePerS
        val ownPerS = account.demand.ratePerS(nowMs) + idlePerS
        val othersPerS = fleet.peerDemandPerS(nowMs, workspace.id.value) + idlePerS * (hosts - 1)
        val even = settings.evenPart / hosts
        val byDemand = (1 - settings.evenPart) * ownPerS / max(ownPerS + othersPerS, Double.MIN_VALUE)
        account.share = if (fleet.isIsolated(nowMs)) even else min(1.0, even + byDemand)
        val capacity = account.share * workspace.burst * settings.burstPart + settings.extraTokens
        account.bucket.rescale(nowMs, account.share * workspace.ratePerS, capacity)
    }

    private companion object {
        /** Time to come back when a rate leaves no room at all. */
        const val NO_ROOM_MS = 1_000L
        const val ROUND_UP = 0.5
    }
}

package io.kumquatmill.routing.retry

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkspaceId

/**
 * Retry budget of each workspace in each region.
 *
 * The budget grows with the number of the workspace's requests, so that retries stay a bounded fraction of the load when a
 * region fails. Budgets that have been idle for [RetrySettings.budgetIdleTimeoutMs] are evicted.
 */
class RetryBudget(
    private val settings: RetrySettings = RetrySettings(),
) {
    private val balances = LinkedHashMap<BudgetKey, RetryBalance>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Number of budgets held in memory. */
    val size: Int
        get() = balances.size

    /** Records the first attempt of a request, which earns a fraction of a retry; [workspace] is null on public routes. */
    fun deposit(
        nowMs: Long,
        workspace: WorkspaceId?,
        region: RegionId,
    ) {
        val balance = balance(nowMs, workspace, region)
        balance.earnedRetries = (balance.earnedRetries + settings.budgetRatio).coerceAtMost(settings.maxBudgetRetries)
    }

    /** Withdraws one retry from the budget. Returns false if none is left. */
    fun tryWithdraw(
        nowMs: Long,
        workspace: WorkspaceId?,
        region: RegionId,
    ): Boolean {
        val balance = balance(nowMs, workspace, region)
        return when {
            balance.earnedRetries >= 1.0 -> {
                balance.earnedRetries -= 1.0
                true
            }

            balance.reserveRetries >= 1.0 -> {
                balance.reserveRetries -= 1.0
                true
            }

            else -> {
                false
            }
        }
    }

    private fun balance(
        nowMs: Long,
        workspace: WorkspaceId?,
        region: RegionId,
    ): RetryBalance {
        evictIdle(nowMs)
        val balance = balances.getOrPut(BudgetKey(workspace, region)) { RetryBalance(settings.reserveRetries, nowMs) }
        val elapsedS = (nowMs - balance.lastUsedAtMs) / MS_PER_S
        balance.reserveRetries = (balance.reserveRetries + elapsedS * settings.reserveRetriesPerS).coerceAtMost(settings.reserveRetries)
        balance.lastUsedAtMs = nowMs
        return balance
    }

    private fun evictIdle(nowMs: Long) {
        val eldest = balances.entries.iterator()
        var evictions = 0
        while (evictions < MAX_EVICTIONS_PER_USE && eldest.hasNext()) {
            if (nowMs - eldest.next().value.lastUsedAtMs < settings.budgetIdleTimeoutMs) return
            eldest.remove()
            evictions += 1
        }
    }

    private data class BudgetKey(
        val workspace: WorkspaceId?,
        val region: RegionId,
    )

    private class RetryBalance(
        var reserveRetries: Double,
        var lastUsedAtMs: Long,
        var earnedRetries: Double = 0.0,
    )

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_EVICTIONS_PER_USE = 2
        const val MS_PER_S = 1_000.0
    }
}

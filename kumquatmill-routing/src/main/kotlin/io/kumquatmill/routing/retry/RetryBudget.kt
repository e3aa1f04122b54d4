package io.kumquatmill.routing.retry

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkspaceId

/**
 * Retries that each workspace may still make in each region.
 *
 * The budget grows with the requests of the workspace, so that retries stay a bounded part of the load when a region
 * fails. Workspaces without requests for a while are forgotten.
 */
class RetryBudget(
    private val settings: RetrySettings = RetrySettings(),
) {
    private val accounts = LinkedHashMap<BudgetKey, Account>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Number of budgets held in memory. */
    val size: Int
        get() = accounts.size

    /** Counts the first attempt of a request. */
    fun deposit(
        nowMs: Long,
        workspace: WorkspaceId?,
        region: RegionId,
    ) {
        val account = account(nowMs, workspace, region)
        account.earned = (account.earned + settings.budgetRatio).coerceAtMost(settings.maxBudget)
    }

    /** Takes one retry from the budget and returns whether there was one. */
    fun tryWithdraw(
        nowMs: Long,
        workspace: WorkspaceId?,
        region: RegionId,
    ): Boolean {
        val account = account(nowMs, workspace, region)
        return when {
            account.earned >= 1.0 -> {
                account.earned -= 1.0
                true
            }

            account.reserve >= 1.0 -> {
                account.reserve -= 1.0
                true
            }

            else -> {
                false
            }
        }
    }

    private fun account(
        nowMs: Long,
        workspace: WorkspaceId?,
        region: RegionId,
    ): Account {
        forgetIdle(nowMs)
        val account = accounts.getOrPut(BudgetKey(workspace, region)) { Account(settings.reserve, nowMs) }
        val elapsedS = (nowMs - account.usedAtMs) / MS_PER_S
        account.reserve = (account.reserve + elapsedS * settings.reservePerS).coerceAtMost(settings.reserve)
        account.usedAtMs = nowMs
        return account
    }

    private fun forgetIdle(nowMs: Long) {
        val eldest = accounts.entries.iterator()
        var checks = 0
        while (checks < CHECKS_PER_USE && eldest.hasNext()) {
            if (nowMs - eldest.next().value.usedAtMs < settings.budgetIdleMs) return
            eldest.remove()
            checks += 1
        }
    }

    private data class BudgetKey(
        val workspace: WorkspaceId?,
        val region: RegionId,
    )

    private class Account(
        var reserve: Double,
        var usedAtMs: Long,
        var earned: Double = 0.0,
    )

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val CHECKS_PER_USE = 2
        const val MS_PER_S = 1_000.0
    }
}

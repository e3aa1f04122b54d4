package io.kumquatmill.routing.retry

/**
 * Bounds on repeated attempts.
 *
 * Each first attempt earns [budgetRatio] of a retry, up to [maxBudget]; [reserve] retries are there without any
 * request and refill at [reservePerS]. A retry needs [minRemainingMs] until the deadline.
 */
data class RetrySettings(
    val maxAttempts: Int = DEFAULT_MAX_ATTEMPTS,
    val budgetRatio: Double = DEFAULT_BUDGET_RATIO,
    val maxBudget: Double = DEFAULT_MAX_BUDGET,
    val reserve: Double = DEFAULT_RESERVE,
    val reservePerS: Double = DEFAULT_RESERVE_PER_S,
    val minRemainingMs: Long = DEFAULT_MIN_REMAINING_MS,
    val retryAfterMs: Long = DEFAULT_RETRY_AFTER_MS,
    val budgetIdleMs: Long = DEFAULT_BUDGET_IDLE_MS,
) {
    companion object {
        const val DEFAULT_MAX_ATTEMPTS: Int = 3
        const val DEFAULT_BUDGET_RATIO: Double = 0.1
        const val DEFAULT_MAX_BUDGET: Double = 20.0
        const val DEFAULT_RESERVE: Double = 3.0
        const val DEFAULT_RESERVE_PER_S: Double = 0.5
        const val DEFAULT_MIN_REMAINING_MS: Long = 20
        const val DEFAULT_RETRY_AFTER_MS: Long = 1_000
        const val DEFAULT_BUDGET_IDLE_MS: Long = 60_000
    }
}

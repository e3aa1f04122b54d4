package io.kumquatmill.routing.retry

/**
 * Limits on retries.
 *
 * A request gets at most [maxAttempts] attempts, the first included. Each first attempt earns [budgetRatio] of a retry, up to
 * [maxBudgetRetries]. In addition, [reserveRetries] are available without any requests and refill at [reserveRetriesPerS]. A
 * request is retried only if at least [minRemainingMs] are left until its deadline. [retryAfterMs] is sent to callers when the
 * outcome states no delay. Budgets are evicted after [budgetIdleTimeoutMs] without use.
 */
data class RetrySettings(
    val maxAttempts: Int = DEFAULT_MAX_ATTEMPTS,
    val budgetRatio: Double = DEFAULT_BUDGET_RATIO,
    val maxBudgetRetries: Double = DEFAULT_MAX_BUDGET_RETRIES,
    val reserveRetries: Double = DEFAULT_RESERVE_RETRIES,
    val reserveRetriesPerS: Double = DEFAULT_RESERVE_RETRIES_PER_S,
    val minRemainingMs: Long = DEFAULT_MIN_REMAINING_MS,
    val retryAfterMs: Long = DEFAULT_RETRY_AFTER_MS,
    val budgetIdleTimeoutMs: Long = DEFAULT_BUDGET_IDLE_TIMEOUT_MS,
) {
    companion object {
        const val DEFAULT_MAX_ATTEMPTS: Int = 3
        const val DEFAULT_BUDGET_RATIO: Double = 0.1
        const val DEFAULT_MAX_BUDGET_RETRIES: Double = 20.0
        const val DEFAULT_RESERVE_RETRIES: Double = 3.0
        const val DEFAULT_RESERVE_RETRIES_PER_S: Double = 0.5
        const val DEFAULT_MIN_REMAINING_MS: Long = 20
        const val DEFAULT_RETRY_AFTER_MS: Long = 1_000
        const val DEFAULT_BUDGET_IDLE_TIMEOUT_MS: Long = 60_000
    }
}

package io.kumquatmill.routing.queue

/**
 * Limits of a [FairQueue].
 *
 * It holds at most [maxPerWorkspace] requests of one workspace and [maxTotal] requests overall. [maxSavedCredit] limits the
 * credit that a workspace accrues while it has no waiting requests, in requests of mean service time per unit of weight.
 * [retryAfterMs] is the shortest retry delay stated in a refusal.
 */
data class FairQueueSettings(
    val maxPerWorkspace: Int = DEFAULT_MAX_PER_WORKSPACE,
    val maxTotal: Int = DEFAULT_MAX_TOTAL,
    val maxSavedCredit: Double = DEFAULT_MAX_SAVED_CREDIT,
    val retryAfterMs: Long = DEFAULT_RETRY_AFTER_MS,
) {
    companion object {
        const val DEFAULT_MAX_PER_WORKSPACE: Int = 64
        const val DEFAULT_MAX_TOTAL: Int = 4_096
        const val DEFAULT_MAX_SAVED_CREDIT: Double = 8.0
        const val DEFAULT_RETRY_AFTER_MS: Long = 500
    }
}

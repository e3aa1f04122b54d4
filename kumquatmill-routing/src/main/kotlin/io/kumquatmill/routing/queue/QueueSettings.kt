package io.kumquatmill.routing.queue

/**
 * Bounds of a [FairQueue]: requests of one workspace and of all together, and the turns that a workspace saves while
 * it does not wait.
 */
data class QueueSettings(
    val maxPerWorkspace: Int = DEFAULT_MAX_PER_WORKSPACE,
    val maxTotal: Int = DEFAULT_MAX_TOTAL,
    val maxSavedTurns: Double = DEFAULT_MAX_SAVED_TURNS,
    val retryAfterMs: Long = DEFAULT_RETRY_AFTER_MS,
) {
    companion object {
        const val DEFAULT_MAX_PER_WORKSPACE: Int = 64
        const val DEFAULT_MAX_TOTAL: Int = 4_096
        const val DEFAULT_MAX_SAVED_TURNS: Double = 8.0
        const val DEFAULT_RETRY_AFTER_MS: Long = 500
    }
}

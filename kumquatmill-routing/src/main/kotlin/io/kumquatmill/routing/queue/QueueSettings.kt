package io.kumquatmill.routing.queue

/** Bounds of a [FairQueue]: requests of one workspace and of all together. */
data class QueueSettings(
    val maxPerWorkspace: Int = DEFAULT_MAX_PER_WORKSPACE,
    val maxTotal: Int = DEFAULT_MAX_TOTAL,
    val retryAfterMs: Long = DEFAULT_RETRY_AFTER_MS,
) {
    companion object {
        const val DEFAULT_MAX_PER_WORKSPACE: Int = 64
        const val DEFAULT_MAX_TOTAL: Int = 4_096
        const val DEFAULT_RETRY_AFTER_MS: Long = 500
    }
}

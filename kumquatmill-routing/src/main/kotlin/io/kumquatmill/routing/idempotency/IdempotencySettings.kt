package io.kumquatmill.routing.idempotency

/**
 * How long and how many requests with an idempotency key are remembered.
 *
 * A workspace may hold at most [maxPerWorkspace], so that none can take the memory of the others.
 */
data class IdempotencySettings(
    val retentionMs: Long = DEFAULT_RETENTION_MS,
    val maxEntries: Int = DEFAULT_MAX_ENTRIES,
    val maxPerWorkspace: Int = DEFAULT_MAX_PER_WORKSPACE,
    val maxKeyLength: Int = DEFAULT_MAX_KEY_LENGTH,
) {
    companion object {
        const val DEFAULT_RETENTION_MS: Long = 600_000
        const val DEFAULT_MAX_ENTRIES: Int = 100_000
        const val DEFAULT_MAX_PER_WORKSPACE: Int = 25_000
        const val DEFAULT_MAX_KEY_LENGTH: Int = 128
    }
}

package io.kumquatmill.routing.idempotency

/**
 * Limits of an [IdempotencyRegistry].
 *
 * Keys are kept for [retentionMs] after the request has ended. Of at most [maxEntries] keys, each workspace may hold
 * [maxPerWorkspace], so that none can use up the memory of the others. Keys longer than [maxKeyLength] characters are rejected.
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

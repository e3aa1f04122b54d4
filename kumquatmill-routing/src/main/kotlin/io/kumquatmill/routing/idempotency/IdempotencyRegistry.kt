package io.kumquatmill.routing.idempotency

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome

/**
 * Deduplicates requests with an idempotency key, so that a caller's retry does not run again.
 *
 * The key of a request in progress is kept until its outcome is reported. If the request was answered or may have run, the key
 * is kept for the retention time after that. If it did not run, the key is released immediately, so that a retry can run.
 */
class IdempotencyRegistry(
    private val settings: IdempotencySettings = IdempotencySettings(),
) {
    private val activeKeys = HashSet<IdempotencyKey>()
    private val completedAtMs = LinkedHashMap<IdempotencyKey, Long>()
    private val countsByWorkspace = HashMap<WorkspaceId?, Int>()

    /** Number of keys held in memory. */
    val size: Int
        get() = activeKeys.size + completedAtMs.size

    /** Claims [key] for a request that is about to run. */
    fun claim(
        nowMs: Long,
        key: IdempotencyKey,
    ): IdempotencyClaim {
        evictExpired(nowMs)
        if (key.value.length > settings.maxKeyLength) return IdempotencyClaim.KeyTooLong
        if (key in activeKeys || key in completedAtMs) return IdempotencyClaim.Duplicate
        if (isFull(key.workspace)) return IdempotencyClaim.Full(retryAfterMs(nowMs))
        activeKeys.add(key)
        countsByWorkspace.merge(key.workspace, 1, Int::plus)
        return IdempotencyClaim.Granted
    }

    /** Records the final outcome of a request whose claim was granted. */
    fun complete(
        nowMs: Long,
        key: IdempotencyKey,
        outcome: Outcome,
    ) {
        if (!activeKeys.remove(key)) return
        if (outcome is Outcome.NotRun) {
            decrementCount(key)
        } else {
            completedAtMs[key] = nowMs
        }
    }

    private fun isFull(workspace: WorkspaceId?): Boolean =
        size >= settings.maxEntries || countsByWorkspace.getOrDefault(workspace, 0) >= settings.maxPerWorkspace

    private fun retryAfterMs(nowMs: Long): Long {
        val oldestMs = completedAtMs.values.firstOrNull() ?: return MIN_RETRY_AFTER_MS
        return (oldestMs + settings.retentionMs - nowMs).coerceAtLeast(MIN_RETRY_AFTER_MS)
    }

    private fun evictExpired(nowMs: Long) {
        val completed = completedAtMs.entries.iterator()
        while (completed.hasNext()) {
            val (key, keyCompletedAtMs) = completed.next()
            if (nowMs - keyCompletedAtMs < settings.retentionMs) return
            completed.remove()
            decrementCount(key)
        }
    }

    private fun decrementCount(key: IdempotencyKey) {
        countsByWorkspace.computeIfPresent(key.workspace) { _, count -> if (count == 1) null else count - 1 }
    }

    private companion object {
        const val MIN_RETRY_AFTER_MS = 1_000L
    }
}

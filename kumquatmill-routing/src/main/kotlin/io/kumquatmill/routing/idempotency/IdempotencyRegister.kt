package io.kumquatmill.routing.idempotency

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome

/**
 * Remembers requests with an idempotency key, so that a caller's own repeat does not run again.
 *
 * An open request is remembered until its end is reported; one that was answered, or may have run, for the retention
 * time after. One that did not run is forgotten at once, so that its repeat runs.
 */
class IdempotencyRegister(
    private val settings: IdempotencySettings = IdempotencySettings(),
) {
    private val open = HashSet<IdempotencyKey>()
    private val endedAtMs = LinkedHashMap<IdempotencyKey, Long>()
    private val counts = HashMap<WorkspaceId?, Int>()

    /** Number of requests that are remembered. */
    val size: Int
        get() = open.size + endedAtMs.size

    /** Asks whether a request with [key] may run. */
    fun claim(
        nowMs: Long,
        key: IdempotencyKey,
    ): IdempotencyClaim {
        forgetOld(nowMs)
        if (key.value.length > settings.maxKeyLength) return IdempotencyClaim.KeyTooLong
        if (key in open || key in endedAtMs) return IdempotencyClaim.Duplicate
        if (isFull(key.workspace)) return IdempotencyClaim.Full(retryAfterMs(nowMs))
        open.add(key)
        counts.merge(key.workspace, 1, Int::plus)
        return IdempotencyClaim.Granted
    }

    /** Reports the final outcome of a request whose claim was granted. */
    fun end(
        nowMs: Long,
        key: IdempotencyKey,
        outcome: Outcome,
    ) {
        if (!open.remove(key)) return
        if (outcome is Outcome.NotRun) {
            uncount(key)
        } else {
            endedAtMs[key] = nowMs
        }
    }

    private fun isFull(workspace: WorkspaceId?): Boolean =
        size >= settings.maxEntries || counts.getOrDefault(workspace, 0) >= settings.maxPerWorkspace

    private fun retryAfterMs(nowMs: Long): Long {
        val oldestMs = endedAtMs.values.firstOrNull() ?: return MIN_RETRY_AFTER_MS
        return (oldestMs + settings.retentionMs - nowMs).coerceAtLeast(MIN_RETRY_AFTER_MS)
    }

    private fun forgetOld(nowMs: Long) {
        val ended = endedAtMs.entries.iterator()
        while (ended.hasNext()) {
            val (key, atMs) = ended.next()
            if (nowMs - atMs < settings.retentionMs) return
            ended.remove()
            uncount(key)
        }
    }

    private fun uncount(key: IdempotencyKey) {
        counts.computeIfPresent(key.workspace) { _, count -> if (count == 1) null else count - 1 }
    }

    private companion object {
        const val MIN_RETRY_AFTER_MS = 1_000L
    }
}

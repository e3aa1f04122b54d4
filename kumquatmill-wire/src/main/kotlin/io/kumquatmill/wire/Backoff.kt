package io.kumquatmill.wire

import kotlin.random.Random

/**
 * Exponential backoff with equal jitter: each delay is random between half and all of an upper bound.
 *
 * The bound doubles from [minMs] up to [maxMs].
 */
internal class Backoff(
    private val minMs: Long,
    private val maxMs: Long,
    private val random: Random,
) {
    private var delayBoundMs = minMs

    /** Returns the delay before the next attempt. */
    fun nextDelayMs(): Long {
        val delayMs = delayBoundMs / 2 + random.nextLong(delayBoundMs / 2 + 1)
        delayBoundMs = minOf(delayBoundMs * 2, maxMs)
        return delayMs
    }

    /** Resets the delay to [minMs] after a successful attempt. */
    fun reset() {
        delayBoundMs = minMs
    }
}

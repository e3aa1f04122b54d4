package io.kumquatmill.wire

import kotlin.random.Random

/** Delays between attempts: exponential from [minMs] to [maxMs], with full jitter in the upper half. */
internal class Backoff(
    private val minMs: Long,
    private val maxMs: Long,
    private val random: Random,
) {
    private var ceilingMs = minMs

    /** Returns the time to wait before the next attempt. */
    fun nextMs(): Long {
        val delayMs = ceilingMs / 2 + random.nextLong(ceilingMs / 2 + 1)
        ceilingMs = minOf(ceilingMs * 2, maxMs)
        return delayMs
    }

    /** Starts again from the shortest delay, after a success. */
    fun reset() {
        ceilingMs = minMs
    }
}

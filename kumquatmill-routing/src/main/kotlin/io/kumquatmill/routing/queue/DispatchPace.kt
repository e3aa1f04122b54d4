package io.kumquatmill.routing.queue

/** Measures the time between dispatches while slots are short; other waits, as for a rate, do not count. */
internal class DispatchPace {
    private var intervalMs = 0.0
    private var shortSinceMs: Long? = null

    /** Notes that requests wait at [nowMs] because no slot is free. */
    fun slotsShort(nowMs: Long) {
        if (shortSinceMs == null) shortSinceMs = nowMs
    }

    /** Notes that no request waits for a slot. */
    fun slotsFree() {
        shortSinceMs = null
    }

    /** Notes a dispatch at [nowMs]. */
    fun dispatched(nowMs: Long) {
        val sinceMs = shortSinceMs ?: return
        intervalMs += GAIN * (nowMs - sinceMs - intervalMs)
        shortSinceMs = nowMs
    }

    /** Returns the expected time between dispatches, at least what the present one takes already; zero if slots are free. */
    fun expectedIntervalMs(nowMs: Long): Double {
        val sinceMs = shortSinceMs ?: return 0.0
        return maxOf(intervalMs, (nowMs - sinceMs).toDouble())
    }

    private companion object {
        const val GAIN = 0.05
    }
}

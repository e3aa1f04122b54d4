package io.kumquatmill.routing.queue

/** Estimates the interval between dispatches while no slot is free. Other waits, such as for a rate limit, do not count. */
internal class DispatchIntervalEstimator {
    private var averageIntervalMs = 0.0
    private var waitingSinceMs: Long? = null

    /** Records that requests are waiting at [nowMs] because no slot is free. */
    fun onSlotsExhausted(nowMs: Long) {
        if (waitingSinceMs == null) waitingSinceMs = nowMs
    }

    /** Records that no request is waiting for a slot. */
    fun onSlotsAvailable() {
        waitingSinceMs = null
    }

    /** Records a dispatch at [nowMs]. */
    fun onDispatched(nowMs: Long) {
        val sinceMs = waitingSinceMs ?: return
        averageIntervalMs += SMOOTHING_FACTOR * (nowMs - sinceMs - averageIntervalMs)
        waitingSinceMs = nowMs
    }

    /** Returns the expected interval between dispatches, at least the time since the latest one; zero if slots are free. */
    fun expectedIntervalMs(nowMs: Long): Double {
        val sinceMs = waitingSinceMs ?: return 0.0
        return maxOf(averageIntervalMs, (nowMs - sinceMs).toDouble())
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.05
    }
}

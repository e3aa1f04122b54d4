package io.kumquatmill.routing.queue

/** Measures the time between dispatches while requests wait. */
internal class DispatchPace {
    private var intervalMs = 0.0
    private var waitingSinceMs = 0L

    /** Notes that the queue had been empty until [nowMs]. */
    fun backlogStarted(nowMs: Long) {
        waitingSinceMs = nowMs
    }

    /** Notes a dispatch at [nowMs]. */
    fun dispatched(nowMs: Long) {
        intervalMs += GAIN * (nowMs - waitingSinceMs - intervalMs)
        waitingSinceMs = nowMs
    }

    /** Returns the expected time between dispatches, at least the time that the present one already takes. */
    fun expectedIntervalMs(nowMs: Long): Double = maxOf(intervalMs, (nowMs - waitingSinceMs).toDouble())

    private companion object {
        const val GAIN = 0.05
    }
}

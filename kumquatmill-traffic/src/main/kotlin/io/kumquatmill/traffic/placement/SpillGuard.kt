package io.kumquatmill.traffic.placement

/**
 * Bounds how fast the part of requests that runs in other regions changes, both ways.
 *
 * Pattern answered: a burst fills a region at once. The part that runs elsewhere may grow or fall from one window to the next by a
 * step; what is beyond it is turned away, and comes back to find the room that the next step opens.
 *
 * @param firstPart part that runs elsewhere before any request was seen
 */
class SpillGuard(
    private val windowMs: Long,
    private val step: Double,
    firstPart: Double,
) {
    private var windowStartMs = 0L
    private var total = 0
    private var elsewhere = 0
    private var partBefore = firstPart

    /** Returns whether one more request may run in another region. */
    fun mayLeave(nowMs: Long): Boolean {
        roll(nowMs)
        return elsewhere + 1 <= (partBefore + step) * (total + 1)
    }

    /** Returns whether one more request that belongs elsewhere may run in its own region instead. */
    fun mayStay(nowMs: Long): Boolean {
        roll(nowMs)
        return elsewhere >= (partBefore - step) * (total + 1)
    }

    /** Counts a request that was sent to a worker. */
    fun count(
        nowMs: Long,
        isElsewhere: Boolean,
    ) {
        roll(nowMs)
        total++
        if (isElsewhere) elsewhere++
    }

    private fun roll(nowMs: Long) {
        if (nowMs - windowStartMs < windowMs) return
        partBefore = if (total < MIN_REQUESTS) partBefore else elsewhere.toDouble() / total
        windowStartMs = nowMs
        total = 0
        elsewhere = 0
    }

    private companion object {
        /** A part of fewer requests says nothing. */
        const val MIN_REQUESTS = 20
    }
}

package io.kumquatmill.routing.queue

/**
 * Cost of requests in turns: their service time against the mean of those that were dispatched.
 *
 * Slots are what is short, and a request holds one for its service time. Workspaces therefore share the time of slots,
 * not the number of requests. The estimate by kind of request follows the cost estimator of the Nature@Cloud load
 * balancer (github.com/JoaoRuss0/cnv).
 */
internal class TurnCost {
    private var meanMs = 0.0

    /** Takes a dispatched request of [serviceMs] into account. */
    fun record(serviceMs: Long) {
        val sampleMs = maxOf(serviceMs, 1).toDouble()
        meanMs = if (meanMs == 0.0) sampleMs else meanMs + GAIN * (sampleMs - meanMs)
    }

    /** Returns the cost of a request of [serviceMs]. */
    fun of(serviceMs: Long): Double {
        if (meanMs == 0.0) return 1.0
        return (maxOf(serviceMs, 1) / meanMs).coerceIn(MIN_COST, MAX_COST)
    }

    private companion object {
        const val GAIN = 0.02
        const val MIN_COST = 0.0625
        const val MAX_COST = 16.0
    }
}

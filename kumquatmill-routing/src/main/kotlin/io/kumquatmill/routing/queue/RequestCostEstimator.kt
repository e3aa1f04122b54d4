package io.kumquatmill.routing.queue

/**
 * Estimates the cost of a request: its service time relative to the mean of the dispatched requests.
 *
 * Slots are the scarce resource, and a request occupies one for its service time. Workspaces therefore share slot time rather
 * than the number of requests. The estimate by kind of request follows the cost estimator of the Nature@Cloud load balancer
 * (github.com/JoaoRuss0/cnv).
 */
internal class RequestCostEstimator {
    private var meanMs = 0.0

    /** Records a dispatched request with an expected service time of [serviceMs]. */
    fun record(serviceMs: Long) {
        val sampleMs = maxOf(serviceMs, 1).toDouble()
        meanMs = if (meanMs == 0.0) sampleMs else meanMs + SMOOTHING_FACTOR * (sampleMs - meanMs)
    }

    /** Returns the cost of a request with an expected service time of [serviceMs]; a mean request costs 1. */
    fun of(serviceMs: Long): Double {
        if (meanMs == 0.0) return 1.0
        return (maxOf(serviceMs, 1) / meanMs).coerceIn(MIN_COST, MAX_COST)
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.02
        const val MIN_COST = 0.0625
        const val MAX_COST = 16.0
    }
}

package io.kumquatmill.bench.overload

/**
 * Load, cost and benefit of one kind of request.
 *
 * @property requestsPerS requests per second from the callers of each zone
 * @property objectsPerZone distinct objects that the callers of each zone request, with equal probability
 * @property coldServiceTimeMs mean service time at a worker for which the object is cold
 * @property targetLatencyMs latency up to which a response has its full benefit
 * @property deadlineMs time that a caller waits, including its retries
 * @property benefit benefit of a response within [targetLatencyMs]
 * @property lateBenefit benefit of a later response
 * @property priority priority of the requests; 0 is the highest
 * @property isIdempotent whether a request may be executed more than once
 * @property hasAffinity whether requests for the same object carry its key, so that they find it warm
 * @property isBulk whether responses are large and still useful when late
 * @property slowFraction fraction of the requests that take [SLOW_FACTOR] times as long
 */
internal data class RequestProfile(
    val name: String,
    val requestsPerS: Double,
    val objectsPerZone: Int,
    val coldServiceTimeMs: Double,
    val targetLatencyMs: Long,
    val deadlineMs: Long,
    val benefit: Double,
    val lateBenefit: Double,
    val priority: Int,
    val isIdempotent: Boolean = true,
    val hasAffinity: Boolean = true,
    val isBulk: Boolean = false,
    val slowFraction: Double = 0.0,
) {
    companion object {
        const val SLOW_FACTOR = 7.0
    }
}

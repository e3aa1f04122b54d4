package io.kumquatmill.traffic.fleet

/**
 * What the latest response of a worker to a host said about the rate that the worker takes from all hosts together.
 *
 * @property limitPerS requests per second that the worker takes, or null if it named no limit any more
 * @property ageMs time since the observation in milliseconds
 */
data class WorkerLimitObservation(
    val limitPerS: Double?,
    val ageMs: Long,
) {
    init {
        require(limitPerS == null || (limitPerS.isFinite() && limitPerS >= 0)) { "invalid rate limit of $limitPerS requests per second" }
        require(ageMs >= 0) { "invalid age of $ageMs ms" }
    }
}

package io.kumquatmill.traffic.placement

/** Result of [Placement.choose]. */
sealed interface PlacementChoice {
    /** The request should be sent to [worker], with an expected queue time of [waitMs] and service time of [serviceMs] milliseconds. */
    data class Chosen(
        val worker: TrackedWorker,
        val waitMs: Double,
        val serviceMs: Double,
    ) : PlacementChoice

    /** No worker gets the request. */
    sealed interface None : PlacementChoice

    /** All workers are so busy that the request would wait longer than it may; retry after [retryAfterMs] milliseconds. */
    data class NoCapacity(
        val retryAfterMs: Long,
    ) : None

    /** No worker is eligible for the request. */
    data object NoWorker : None
}

package io.kumquatmill.routing.health

/** Load that a worker reported about itself at [reportedAtMs]. The report may be stale or wrong. */
data class WorkerLoad(
    val busySlots: Int,
    val isHealthy: Boolean,
    val isDraining: Boolean,
    val reportedAtMs: Long,
)

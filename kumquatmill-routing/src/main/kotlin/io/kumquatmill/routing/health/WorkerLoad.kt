package io.kumquatmill.routing.health

/** What a worker reported of itself at [reportedAtMs]; the report may be old or wrong. */
data class WorkerLoad(
    val busySlots: Int,
    val isHealthy: Boolean,
    val isDraining: Boolean,
    val reportedAtMs: Long,
)

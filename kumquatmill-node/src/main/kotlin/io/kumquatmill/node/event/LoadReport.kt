package io.kumquatmill.node.event

/** What a worker's load endpoint says of itself. */
data class LoadReport(
    val busySlots: Int,
    val isHealthy: Boolean,
    val isDraining: Boolean,
)

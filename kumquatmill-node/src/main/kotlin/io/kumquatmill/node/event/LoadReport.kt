package io.kumquatmill.node.event

/** Load and health of a worker, as reported by its load endpoint. */
data class LoadReport(
    val busySlots: Int,
    val isHealthy: Boolean,
    val isDraining: Boolean,
)

package io.kumquatmill.steering.block

import io.kumquatmill.common.id.RegionId

/** Measured round-trip time between a client block and [region]. */
data class RegionLatency(
    val region: RegionId,
    val latencyMs: Int,
)

package io.kumquatmill.steering.block

import io.kumquatmill.common.id.RegionId

/** Measured round trip between a client block and a site. */
data class SiteLatency(
    val region: RegionId,
    val latencyMs: Int,
)

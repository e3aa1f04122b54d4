package io.kumquatmill.steering.table

import io.kumquatmill.common.id.RegionId

/** Regions for the callers of one client block, the best first. */
typealias CallerRegions = (clientIp: String) -> List<RegionId>

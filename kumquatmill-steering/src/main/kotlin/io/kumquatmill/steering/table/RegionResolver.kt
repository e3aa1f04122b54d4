package io.kumquatmill.steering.table

import io.kumquatmill.common.id.RegionId

/** Returns the regions for callers at a client address, the best first; may be empty. */
typealias RegionResolver = (clientIp: String) -> List<RegionId>

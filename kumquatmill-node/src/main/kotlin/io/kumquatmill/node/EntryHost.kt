package io.kumquatmill.node

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId

/** An entry host, as returned to callers by a lookup. */
data class EntryHost(
    val host: HostId,
    val region: RegionId,
    val address: HostAddress,
)

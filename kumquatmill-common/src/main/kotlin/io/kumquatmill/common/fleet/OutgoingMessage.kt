package io.kumquatmill.common.fleet

import io.kumquatmill.common.id.HostId

/** A [message] for the same component of host [to]; it may be lost, duplicated or reordered. */
data class OutgoingMessage<out M>(
    val to: HostId,
    val message: M,
)

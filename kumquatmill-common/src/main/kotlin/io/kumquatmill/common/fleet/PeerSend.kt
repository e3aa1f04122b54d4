package io.kumquatmill.common.fleet

import io.kumquatmill.common.id.HostId

/** A [message] of one part of a host to the same part of the host [to]; it may be lost, repeated or overtaken. */
data class PeerSend<out M>(
    val to: HostId,
    val message: M,
)

package io.kumquatmill.gateway.peer

import java.io.IOException

/** A datagram that is not a message of a host. */
class MalformedPeerMessageException(
    detail: String,
    cause: Throwable? = null,
) : IOException("datagram is not a peer message: $detail", cause)

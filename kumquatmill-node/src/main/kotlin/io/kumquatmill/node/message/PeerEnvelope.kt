package io.kumquatmill.node.message

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import kotlinx.serialization.Serializable

/** A message from one entry host to another, with the sender's incarnation. */
@Serializable
data class PeerEnvelope(
    val from: HostId,
    val fromIncarnation: Incarnation,
    val to: HostId,
    val message: PeerMessage,
)

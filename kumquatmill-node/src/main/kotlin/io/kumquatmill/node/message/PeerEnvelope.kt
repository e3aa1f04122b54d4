package io.kumquatmill.node.message

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import kotlinx.serialization.Serializable

/** A message between two entry hosts, with the incarnations it is from and meant for. */
@Serializable
data class PeerEnvelope(
    val from: HostId,
    val fromIncarnation: Incarnation,
    val to: HostId,
    val message: PeerMessage,
)

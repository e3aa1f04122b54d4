package io.kumquatmill.node

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation

/**
 * State of an entry host, for operators.
 *
 * [configurationRevision] and [rosterEpoch] are 0 while the host has none.
 * [hasStanding] is true while the host may use its shares of the limits; without it, the host refuses all requests.
 * [servesKeys] is false while the host cannot learn of withdrawn keys and therefore refuses requests on routes that need a key.
 */
data class NodeStatus(
    val host: HostId,
    val incarnation: Incarnation,
    val lifecycle: Lifecycle,
    val configurationRevision: Long,
    val rosterEpoch: Long,
    val hasStanding: Boolean,
    val servesKeys: Boolean,
    val inFlightRequests: Int,
    val queuedRequests: Int,
    val shares: List<ShareStatus>,
)

package io.kumquatmill.node

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation

/**
 * State of an entry host as operators see it.
 *
 * [servesKeys] is false while the host can't know of withdrawn keys and refuses routes that need one.
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

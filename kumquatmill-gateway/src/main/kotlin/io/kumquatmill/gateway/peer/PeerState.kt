package io.kumquatmill.gateway.peer

import io.kumquatmill.store.StoreEntry
import kotlinx.serialization.Serializable

/**
 * All store entries that a host knows, for a peer whose store calls fail.
 *
 * @property revision highest store revision that the host has applied
 */
@Serializable
data class PeerState(
    val revision: Long,
    val entries: List<StoreEntry>,
)

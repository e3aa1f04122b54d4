package io.kumquatmill.gateway.peer

import io.kumquatmill.store.StoreEntry
import kotlinx.serialization.Serializable

/** All entries of the store that a host knows, for a peer that the store does not serve. */
@Serializable
data class PeerState(
    val revision: Long,
    val entries: List<StoreEntry>,
)

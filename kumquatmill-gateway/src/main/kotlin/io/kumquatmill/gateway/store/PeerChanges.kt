package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreChange
import kotlinx.serialization.Serializable

/**
 * Changes of the store that a host passes on to a peer.
 *
 * @property revision revision up to which [changes] are complete
 * @property answerAgeMs time in milliseconds since the store last answered the host's watch
 */
@Serializable
data class PeerChanges(
    val revision: Long,
    val answerAgeMs: Long,
    val changes: List<StoreChange>,
)

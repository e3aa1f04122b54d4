package io.kumquatmill.node.message

import io.kumquatmill.configuration.sync.ConfigurationMessage
import io.kumquatmill.limits.ledger.LedgerMessage
import io.kumquatmill.membership.message.MembershipMessage
import kotlinx.serialization.Serializable

/**
 * Payload of a message between entry hosts, by the component that handles it.
 *
 * The full class names of the subclasses are on the wire.
 */
@Serializable
sealed interface PeerMessage {
    /** A message of the share ledger. */
    @Serializable
    data class Ledger(
        val message: LedgerMessage,
    ) : PeerMessage

    /** A message of the membership agent. */
    @Serializable
    data class Membership(
        val message: MembershipMessage,
    ) : PeerMessage

    /** A message of the configuration sync. */
    @Serializable
    data class Configuration(
        val message: ConfigurationMessage,
    ) : PeerMessage
}

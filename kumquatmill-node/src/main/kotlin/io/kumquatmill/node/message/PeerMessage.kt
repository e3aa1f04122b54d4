package io.kumquatmill.node.message

import io.kumquatmill.configuration.sync.ConfigurationMessage
import io.kumquatmill.limits.ledger.LedgerMessage
import io.kumquatmill.membership.message.MembershipMessage
import kotlinx.serialization.Serializable

/** What one entry host says to another; each part of the node has messages of its own. */
@Serializable
sealed interface PeerMessage {
    /** A message between the share ledgers. */
    @Serializable
    data class Ledger(
        val message: LedgerMessage,
    ) : PeerMessage

    /** A message between the membership agents. */
    @Serializable
    data class Membership(
        val message: MembershipMessage,
    ) : PeerMessage

    /** A message between the configuration registers. */
    @Serializable
    data class Configuration(
        val message: ConfigurationMessage,
    ) : PeerMessage
}

package io.kumquatmill.node.message

import kotlinx.serialization.Serializable

/** What one entry host says to another; each part of the node has messages of its own. */
@Serializable
sealed interface PeerMessage {
    /** Asks a peer to answer with [Pong], to measure whether it can be reached. */
    @Serializable
    data class Ping(
        val nonce: Long,
    ) : PeerMessage

    /** Answers a [Ping] of the same [nonce]. */
    @Serializable
    data class Pong(
        val nonce: Long,
    ) : PeerMessage
}

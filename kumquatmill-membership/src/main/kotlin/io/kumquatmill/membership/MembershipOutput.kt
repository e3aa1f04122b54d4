package io.kumquatmill.membership

import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange

/**
 * Effects that the caller of [MembershipAgent] must carry out after an event.
 *
 * @property storeCalls calls to send to the store; their results go to [MembershipAgent.onStoreReply].
 * @property sends messages to send to peers.
 * @property configurationChange change of the configuration entry, or null if it did not change; it must be applied to the
 *   active configuration before the agent receives another event.
 * @property peerRevisions configuration revisions that peers have reported.
 * @property events events to log.
 */
data class MembershipOutput(
    val storeCalls: List<StoreCall> = emptyList(),
    val sends: List<OutgoingMessage<MembershipMessage>> = emptyList(),
    val configurationChange: StoreChange? = null,
    val peerRevisions: List<PeerRevision> = emptyList(),
    val events: List<MembershipEvent> = emptyList(),
)

/** Reports that the active configuration of [host] has [revision]. */
data class PeerRevision(
    val host: HostId,
    val revision: Long,
)

/** Collects the effects of one event into a [MembershipOutput]. */
internal class OutputBuilder {
    private val storeCalls = mutableListOf<StoreCall>()
    private val sends = mutableListOf<OutgoingMessage<MembershipMessage>>()
    private val peerRevisions = mutableListOf<PeerRevision>()
    private val events = mutableListOf<MembershipEvent>()
    var configurationChange: StoreChange? = null

    fun addStoreCall(call: StoreCall) {
        storeCalls += call
    }

    fun send(
        to: HostId,
        message: MembershipMessage,
    ) {
        sends += OutgoingMessage(to, message)
    }

    fun addPeerRevision(
        host: HostId,
        revision: Long,
    ) {
        peerRevisions += PeerRevision(host, revision)
    }

    fun addEvent(event: MembershipEvent) {
        events += event
    }

    fun build() = MembershipOutput(storeCalls, sends, configurationChange, peerRevisions, events)
}

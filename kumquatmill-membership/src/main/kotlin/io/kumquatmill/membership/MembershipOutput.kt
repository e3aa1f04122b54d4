package io.kumquatmill.membership

import io.kumquatmill.common.fleet.PeerSend
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange

/**
 * What [MembershipAgent] wants done after an event.
 *
 * [configurationChange] goes to the configuration register before the agent is told of anything else.
 * [peerRevisions] are the revisions of the lists that peers have mentioned.
 */
data class MembershipOutput(
    val storeCalls: List<StoreCall> = emptyList(),
    val sends: List<PeerSend<MembershipMessage>> = emptyList(),
    val configurationChange: StoreChange? = null,
    val peerRevisions: List<PeerRevision> = emptyList(),
    val events: List<MembershipEvent> = emptyList(),
)

/** [host] has the operators' lists of [revision] in force. */
data class PeerRevision(
    val host: HostId,
    val revision: Long,
)

/** Collects the parts of a [MembershipOutput] while an event is handled. */
internal class OutputBuilder {
    private val storeCalls = mutableListOf<StoreCall>()
    private val sends = mutableListOf<PeerSend<MembershipMessage>>()
    private val peerRevisions = mutableListOf<PeerRevision>()
    private val events = mutableListOf<MembershipEvent>()
    var configurationChange: StoreChange? = null

    fun call(call: StoreCall) {
        storeCalls += call
    }

    fun send(
        to: HostId,
        message: MembershipMessage,
    ) {
        sends += PeerSend(to, message)
    }

    fun peerRevision(
        host: HostId,
        revision: Long,
    ) {
        peerRevisions += PeerRevision(host, revision)
    }

    fun event(event: MembershipEvent) {
        events += event
    }

    fun build() = MembershipOutput(storeCalls, sends, configurationChange, peerRevisions, events)
}

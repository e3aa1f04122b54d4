package io.kumquatmill.node.effect

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.node.message.PeerEnvelope
import io.kumquatmill.store.StoreCall

/** Output of an [EntryNode][io.kumquatmill.node.EntryNode]: an action that its owner has to execute. */
sealed interface NodeEffect {
    /**
     * Sends a request to a worker immediately, with a timeout of [timeoutMs].
     *
     * With [needsFreshConnection], it must use a new connection or one that was just verified to be alive.
     * [workspace] is null on routes that need no key.
     */
    data class Forward(
        val attempt: AttemptId,
        val request: RequestId,
        val worker: WorkerId,
        val workspace: WorkspaceId?,
        val timeoutMs: Long,
        val needsFreshConnection: Boolean,
    ) : NodeEffect

    /** Cancels an attempt: closes its connection and discards its response. */
    data class CancelAttempt(
        val attempt: AttemptId,
    ) : NodeEffect

    /** Relays the complete response of [attempt] to the caller. */
    data class RelayResponse(
        val request: RequestId,
        val attempt: AttemptId,
    ) : NodeEffect

    /** Refuses a request with an immediate response; [outcome] is [Outcome.NotRun] or [Outcome.Unknown]. */
    data class Refuse(
        val request: RequestId,
        val outcome: Outcome,
    ) : NodeEffect

    /** Sends a message to another entry host; it may be lost, duplicated or reordered. */
    data class SendToPeer(
        val address: HostAddress,
        val envelope: PeerEnvelope,
    ) : NodeEffect

    /** Calls the key-value store; the reply arrives as a `StoreCallEnded` event with the same [callId]. */
    data class CallStore(
        val callId: Long,
        val call: StoreCall,
    ) : NodeEffect

    /** Writes [decision] to the decision log. */
    data class LogDecision(
        val decision: Decision,
    ) : NodeEffect

    /** This host has handed its shares over and left the roster: the process may exit. */
    data object Exit : NodeEffect
}

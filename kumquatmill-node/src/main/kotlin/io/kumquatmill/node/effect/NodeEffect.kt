package io.kumquatmill.node.effect

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.node.message.PeerEnvelope
import io.kumquatmill.store.StoreCall

/** Something that the node has decided and that the code around it has to carry out. */
sealed interface NodeEffect {
    /**
     * Sends a request to a worker, at once, with [timeoutMs] as its deadline.
     *
     * With [needsFreshConnection], only a new connection or one proven alive just now may carry it.
     * [workspace] is null on routes that are open to all.
     */
    data class Forward(
        val attempt: AttemptId,
        val request: RequestId,
        val worker: WorkerId,
        val workspace: WorkspaceId?,
        val timeoutMs: Long,
        val needsFreshConnection: Boolean,
    ) : NodeEffect

    /** Gives up an attempt: its connection is closed and its answer discarded. */
    data class CancelAttempt(
        val attempt: AttemptId,
    ) : NodeEffect

    /** Passes the complete answer of [attempt] to the caller. */
    data class RelayAnswer(
        val request: RequestId,
        val attempt: AttemptId,
    ) : NodeEffect

    /** Answers the caller at once that its request was not served; [outcome] is not-run or unknown. */
    data class Refuse(
        val request: RequestId,
        val outcome: Outcome,
    ) : NodeEffect

    /** Sends a message to another entry host; it may be lost, repeated or overtaken. */
    data class SendToPeer(
        val address: HostAddress,
        val envelope: PeerEnvelope,
    ) : NodeEffect

    /** Calls the key-value service; the reply comes back as an event with the same [callId]. */
    data class CallStore(
        val callId: Long,
        val call: StoreCall,
    ) : NodeEffect

    /** Writes a log line for a routing or placement decision. */
    data class LogDecision(
        val decision: Decision,
    ) : NodeEffect

    /** All requests have ended and all leases are handed over: the process may exit. */
    data object Exit : NodeEffect
}

package io.kumquatmill.node.event

import arrow.core.Either
import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.node.message.PeerEnvelope
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** Input of an [EntryNode][io.kumquatmill.node.EntryNode]: something that happened outside the node. */
sealed interface NodeEvent {
    /**
     * A caller's request was read completely.
     *
     * [keyHash] is null when the caller sent no key, and [idempotencyKey] when it sent no idempotency key.
     * [bodyBytes] is the size of the body.
     * [deadlineMs] is the time for which the caller is willing to wait, or null if it did not set one.
     */
    data class RequestArrived(
        val request: RequestId,
        val keyHash: KeyHash?,
        val method: String,
        val path: String,
        val bodyBytes: Long,
        val idempotencyKey: String? = null,
        val deadlineMs: Long? = null,
    ) : NodeEvent

    /** The caller disconnected before it had received the complete response. */
    data class RequestCancelled(
        val request: RequestId,
    ) : NodeEvent

    /** An attempt ended; the node decides whether to respond to the caller or to retry. */
    data class AttemptEnded(
        val attempt: AttemptId,
        val result: AttemptResult,
    ) : NodeEvent

    /** A message from another entry host arrived. */
    data class PeerMessageReceived(
        val envelope: PeerEnvelope,
    ) : NodeEvent

    /** A call to the key-value store ended; [callId] is that of the effect that requested it. */
    data class StoreCallEnded(
        val callId: Long,
        val call: StoreCall,
        val result: Either<StoreError, StoreReply>,
    ) : NodeEvent

    /** The platform's host list was read; the list may lag behind the actual state. */
    data class HostListRead(
        val entries: List<HostListEntry>,
    ) : NodeEvent

    /** A worker's load endpoint responded; the report may be stale or wrong. */
    data class LoadReported(
        val worker: WorkerId,
        val report: LoadReport,
    ) : NodeEvent

    /** Periodic timer event, sent at least every [TICK_INTERVAL_MS]. */
    data object Tick : NodeEvent

    /** The daemon was asked to stop: leave the fleet, drain all requests, then exit. */
    data object StopRequested : NodeEvent

    companion object {
        const val TICK_INTERVAL_MS: Long = 50
    }
}

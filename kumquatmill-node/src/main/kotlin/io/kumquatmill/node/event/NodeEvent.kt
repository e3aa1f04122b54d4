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

/** Something that happened outside the node and that it has to decide on. */
sealed interface NodeEvent {
    /**
     * A caller's request was read completely.
     *
     * [keyHash] is null when the caller sent no key. [bodyBytes] is the size of the body.
     * [deadlineMs] is the time the caller is willing to wait, if it said so.
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

    /** The caller disconnected before its answer was complete. */
    data class RequestCancelled(
        val request: RequestId,
    ) : NodeEvent

    /** An attempt ended; the node decides whether to answer or to try again. */
    data class AttemptEnded(
        val attempt: AttemptId,
        val result: AttemptResult,
    ) : NodeEvent

    /** A message of another entry host arrived. */
    data class PeerMessageReceived(
        val envelope: PeerEnvelope,
    ) : NodeEvent

    /** A call of the key-value service ended; [callId] is that of the effect that asked for it. */
    data class StoreCallEnded(
        val callId: Long,
        val call: StoreCall,
        val result: Either<StoreError, StoreReply>,
    ) : NodeEvent

    /** The platform's lagging list of hosts was read. */
    data class HostListRead(
        val entries: List<HostListEntry>,
    ) : NodeEvent

    /** A worker's load endpoint answered; the report may be old or wrong. */
    data class LoadReported(
        val worker: WorkerId,
        val report: LoadReport,
    ) : NodeEvent

    /** Time has passed; sent at least every [TICK_INTERVAL_MS]. */
    data object Tick : NodeEvent

    /** The daemon was asked to stop: leave, end all requests, then exit. */
    data object StopRequested : NodeEvent

    companion object {
        const val TICK_INTERVAL_MS: Long = 50
    }
}

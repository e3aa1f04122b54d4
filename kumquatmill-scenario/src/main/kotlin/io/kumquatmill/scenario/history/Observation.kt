package io.kumquatmill.scenario.history

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorConfiguration

/** An event that was observed outside the entry hosts; [atMs] is the time since the start of the simulation. */
sealed interface Observation {
    val atMs: Long

    /** A caller sent a request to an entry host; [keyHash] and [workspace] are null for callers without a key. */
    data class RequestSent(
        override val atMs: Long,
        val request: RequestId,
        val host: HostId,
        val callerRegion: RegionId,
        val keyHash: KeyHash?,
        val workspace: WorkspaceId?,
        val route: RouteId,
    ) : Observation

    /** An attempt of a request reached a worker, whether or not the worker then ran it; [bytes] is the size of the request body. */
    data class AttemptArrived(
        override val atMs: Long,
        val request: RequestId,
        val worker: WorkerId,
        val workerRegion: RegionId,
        val host: HostId,
        val hostRegion: RegionId,
        val workspace: WorkspaceId?,
        val bytes: Long,
    ) : Observation

    /** A worker started to run a request. */
    data class RunStarted(
        override val atMs: Long,
        val request: RequestId,
        val worker: WorkerId,
    ) : Observation

    /** A worker is done with an attempt: its run ended or was cancelled, or the worker shed or ignored the attempt. */
    data class RunEnded(
        override val atMs: Long,
        val request: RequestId,
        val worker: WorkerId,
    ) : Observation

    /** A worker sent a response with a body of [bytes] to an entry host. */
    data class ResponseSent(
        override val atMs: Long,
        val request: RequestId,
        val workerRegion: RegionId,
        val hostRegion: RegionId,
        val bytes: Long,
    ) : Observation

    /** A caller received the response of an entry host; [respondedRequest] is the request whose response the body contains, if any. */
    data class ResponseReceived(
        override val atMs: Long,
        val request: RequestId,
        val outcome: Outcome,
        val respondedRequest: RequestId?,
    ) : Observation

    /** A caller lost its connection to the entry host before a response arrived, or timed out while it waited for one. */
    data class CallerDisconnected(
        override val atMs: Long,
        val request: RequestId,
        val host: HostId,
        val hasTimedOut: Boolean,
    ) : Observation

    /** The key-value store accepted [configuration] as [revision]. */
    data class ConfigurationAccepted(
        override val atMs: Long,
        val revision: Long,
        val configuration: OperatorConfiguration,
    ) : Observation

    /** A serving entry host reported the configuration revision that it has in force. */
    data class RevisionInForce(
        override val atMs: Long,
        val host: HostId,
        val revision: Long,
    ) : Observation

    /** A worker started to drain: it should get no new requests. */
    data class WorkerLeaving(
        override val atMs: Long,
        val worker: WorkerId,
    ) : Observation

    /** An entry host was asked to stop gracefully. */
    data class HostStopping(
        override val atMs: Long,
        val host: HostId,
    ) : Observation

    /** The process of an entry host was killed, or exited after a graceful stop. */
    data class HostEnded(
        override val atMs: Long,
        val host: HostId,
        val wasKilled: Boolean,
    ) : Observation

    /** The process of an entry host was started, possibly under the same name as an earlier process. */
    data class HostStarted(
        override val atMs: Long,
        val host: HostId,
    ) : Observation
}

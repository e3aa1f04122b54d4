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

/** Something that an observer outside the entry hosts saw at [atMs] of the scenario's time. */
sealed interface Observation {
    val atMs: Long

    /** A caller sent a request to an entry host. */
    data class RequestSent(
        override val atMs: Long,
        val request: RequestId,
        val host: HostId,
        val callerRegion: RegionId,
        val keyHash: KeyHash?,
        val workspace: WorkspaceId?,
        val route: RouteId,
    ) : Observation

    /** An attempt of a request reached a worker, whether or not the worker then ran it. */
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

    /** A worker began to run a request. */
    data class RunStarted(
        override val atMs: Long,
        val request: RequestId,
        val worker: WorkerId,
    ) : Observation

    /** A worker ended its run of a request, or was stopped. */
    data class RunEnded(
        override val atMs: Long,
        val request: RequestId,
        val worker: WorkerId,
    ) : Observation

    /** An answer left a worker for an entry host. */
    data class AnswerSent(
        override val atMs: Long,
        val request: RequestId,
        val workerRegion: RegionId,
        val hostRegion: RegionId,
        val bytes: Long,
    ) : Observation

    /** A caller got its final answer; [answeredRequest] is the request that the body belongs to. */
    data class CallerAnswered(
        override val atMs: Long,
        val request: RequestId,
        val outcome: Outcome,
        val answeredRequest: RequestId?,
    ) : Observation

    /** A caller lost its connection to the entry host before an answer came, or gave up waiting for one. */
    data class CallerDisconnected(
        override val atMs: Long,
        val request: RequestId,
        val host: HostId,
        val hasTimedOut: Boolean,
    ) : Observation

    /** The key-value service accepted an edit of the operators' lists. */
    data class ListsAccepted(
        override val atMs: Long,
        val revision: Long,
        val lists: OperatorConfiguration,
    ) : Observation

    /** An entry host reported the revision that it has in force. */
    data class RevisionInForce(
        override val atMs: Long,
        val host: HostId,
        val revision: Long,
    ) : Observation

    /** A worker began to leave: it is to get no new work. */
    data class WorkerLeaving(
        override val atMs: Long,
        val worker: WorkerId,
    ) : Observation

    /** An entry host was told to stop in an orderly way. */
    data class HostStopping(
        override val atMs: Long,
        val host: HostId,
    ) : Observation

    /** An entry host was killed, or ended by itself. */
    data class HostEnded(
        override val atMs: Long,
        val host: HostId,
        val wasKilled: Boolean,
    ) : Observation

    /** An entry host was started, under the same name as before or a new one. */
    data class HostStarted(
        override val atMs: Long,
        val host: HostId,
    ) : Observation
}

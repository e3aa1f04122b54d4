package io.kumquatmill.routing.request

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.model.Route

/**
 * What an entry host knows of one request between its arrival and its answer.
 *
 * [workspace] is null on open routes. [triedWorkers] are in order of the attempts. [mayHaveRun] becomes true with the
 * first attempt whose outcome is unknown and stays so, so that a later refusal never claims that nothing ran.
 */
data class RequestState(
    val id: RequestId,
    val workspace: WorkspaceId?,
    val route: Route,
    val arrivedAtMs: Long,
    val deadlineAtMs: Long,
    val triedWorkers: List<WorkerId> = emptyList(),
    val mayHaveRun: Boolean = false,
) {
    /** Number of attempts so far. */
    val attempts: Int
        get() = triedWorkers.size

    /** Returns the time left until the deadline, zero once it has passed. */
    fun remainingMs(nowMs: Long): Long = (deadlineAtMs - nowMs).coerceAtLeast(0)

    /** Returns the state after an attempt at [worker] has begun. */
    fun withAttempt(worker: WorkerId): RequestState = copy(triedWorkers = triedWorkers + worker)

    /** Returns the state after an attempt ended with [outcome]. */
    fun withOutcome(outcome: Outcome): RequestState = if (outcome is Outcome.Unknown) copy(mayHaveRun = true) else this

    /** Returns the truthful final outcome of a request that is given up for [reason]. */
    fun refused(
        reason: RefusalReason,
        retryAfterMs: Long,
    ): Outcome = if (mayHaveRun) Outcome.Unknown(reason, retryAfterMs) else Outcome.NotRun(reason, retryAfterMs)
}

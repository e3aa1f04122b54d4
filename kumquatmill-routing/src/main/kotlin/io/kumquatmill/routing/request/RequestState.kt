package io.kumquatmill.routing.request

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.model.Route

/**
 * State of a request at an entry host, from its arrival to its response.
 *
 * [workspace] is null on public routes. [triedWorkers] are in the order of the attempts. [mayHaveRun] becomes true after the
 * first attempt with an unknown outcome and never goes back to false, so that a later refusal can't claim that nothing ran.
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

    /** Returns the time left until the deadline, or zero once it has passed. */
    fun remainingMs(nowMs: Long): Long = (deadlineAtMs - nowMs).coerceAtLeast(0)

    /** Returns the state after an attempt at [worker] has started. */
    fun withAttempt(worker: WorkerId): RequestState = copy(triedWorkers = triedWorkers + worker)

    /** Returns the state after an attempt ended with [outcome]. */
    fun withOutcome(outcome: Outcome): RequestState = if (outcome is Outcome.Unknown) copy(mayHaveRun = true) else this

    /** Returns the final outcome of a request that is refused for [reason]: unknown if any attempt may have run. */
    fun refusal(
        reason: RefusalReason,
        retryAfterMs: Long,
    ): Outcome = if (mayHaveRun) Outcome.Unknown(reason, retryAfterMs) else Outcome.NotRun(reason, retryAfterMs)
}

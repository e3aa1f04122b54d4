package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.admission.CapacityAdmission
import io.kumquatmill.traffic.crash.CrashingRequests
import io.kumquatmill.traffic.leaving.LeavingWorkers
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.placement.Placement
import io.kumquatmill.traffic.placement.SharedLoads
import io.kumquatmill.traffic.placement.TrackedWorker
import io.kumquatmill.traffic.reach.RelayPeers
import io.kumquatmill.traffic.reach.WorkerReach
import io.kumquatmill.traffic.workerlimit.WorkerLimits

/**
 * The result of an attempt: what it says about its worker and peer, and whether its request ends with it or is sent again.
 *
 * @param entryOf returns the current entry of a worker, or null if there is none
 */
internal class AttemptResults(
    private val placement: Placement,
    private val workerLimits: WorkerLimits,
    private val crashingRequests: CrashingRequests,
    private val reach: WorkerReach,
    private val relays: RelayPeers,
    private val leaving: LeavingWorkers,
    private val nextAttempt: NextAttempt,
    private val sharedLoads: SharedLoads,
    private val capacity: CapacityAdmission,
    private val entryOf: (WorkerId) -> WorkerEntry?,
) {
    /** See [TrafficController.onResult]. */
    fun onResult(
        nowMs: Long,
        request: TrafficRequest,
        result: AttemptResult,
    ): RequestAction {
        val attempt =
            checkNotNull(request.currentAttempt) {
                "request of route ${request.route.id} has no attempt in progress: report exactly one result per attempt"
            }
        request.currentAttempt = null
        val worker = attempt.worker
        finishAttempt(attempt)
        if (result.isNotRun) request.possibleExecutions--
        val mayLift = result is AttemptResult.Answered && result.status < SERVER_ERROR
        workerLimits.onResponse(nowMs, attempt.sentAtMs, worker.entry, result.rateLimit, mayLift)
        recordCrashSigns(nowMs, request, attempt, result)
        if (result is AttemptResult.Answered || result is AttemptResult.Shed) leaving.onAnswered(nowMs, attempt.sentAtMs, worker.entry)
        return when (result) {
            is AttemptResult.Answered -> {
                recordLoad(nowMs, worker, result.load)
                onAnswered(nowMs, request, attempt, result.status)
            }
            is AttemptResult.Shed -> {
                recordLoad(nowMs, worker, result.load)
                worker.onShed(nowMs)
                retryUnexecuted(nowMs, request, isBudgetExempt = false)
            }
            is AttemptResult.RelayFailed -> {
                attempt.relay?.let { relays.onFailed(nowMs, it) }
                request.triedWorkers -= worker.entry.id
                retryUnexecuted(nowMs, request, isBudgetExempt = true)
            }
            is AttemptResult.Unreachable -> {
                if (attempt.relay == null) reach.onConnectFailed(nowMs, worker.entry.id)
                worker.onFailed(nowMs, isUnreachable = true)
                retryUnexecuted(nowMs, request, isBudgetExempt = true)
            }
            is AttemptResult.Misdirected -> {
                worker.onMisdirected(nowMs)
                retryUnexecuted(nowMs, request, isBudgetExempt = false)
            }
            is AttemptResult.Unknown -> {
                worker.onFailed(nowMs, isUnreachable = false)
                onUnknown(nowMs, request, result)
            }
        }
    }

    private fun recordLoad(
        nowMs: Long,
        worker: TrackedWorker,
        load: WorkerLoad?,
    ) {
        if (load == null) return
        load.requests(worker.entry.slots)?.let {
            worker.onLoadReport(nowMs, it)
            sharedLoads.onReported(nowMs, worker, it)
        }
        load.running?.let { capacity.onLoad(nowMs, worker.entry, it, load.waiting ?: 0) }
        load.servicePercent?.let { worker.onSpeedReport(nowMs, it) }
    }

    /** Ends a request that a worker may have run, or sends it to another worker if its route is idempotent. */
    private fun onUnknown(
        nowMs: Long,
        request: TrafficRequest,
        result: AttemptResult.Unknown,
    ): RequestAction {
        if (result.isConnectionLost) request.lostAttempts++
        val failure = RequestAction.Fail(result.detail)
        return if (request.route.isIdempotent && !mayCrashWorkers(request)) nextAttempt.next(nowMs, request, failure) else failure
    }

    /** See [TrafficController.abandon]. */
    fun abandon(
        nowMs: Long,
        request: TrafficRequest,
        isWorkerSlow: Boolean,
        result: AttemptResult?,
    ) {
        val attempt = request.currentAttempt ?: return
        request.currentAttempt = null
        finishAttempt(attempt)
        if (result != null) recordCrashSigns(nowMs, request, attempt, result)
        if (isWorkerSlow) {
            attempt.relay?.let { relays.onFailed(nowMs, it) }
            placement.onTimedOut(nowMs, request.route, attempt.worker, attempt.wasCached, (nowMs - attempt.sentAtMs).toDouble())
        }
    }

    private fun finishAttempt(attempt: TrafficRequest.Attempt) {
        attempt.worker.onFinished(attempt.sentAtMs)
        attempt.relay?.let { relays.onFinished(it) }
    }

    /** Records what the [result] of [attempt] says about whether the worker's process has ended. */
    private fun recordCrashSigns(
        nowMs: Long,
        request: TrafficRequest,
        attempt: TrafficRequest.Attempt,
        result: AttemptResult,
    ) {
        val worker = attempt.worker
        when (result) {
            // A failure may come from another layer, and without the request having been run.
            is AttemptResult.Answered -> if (result.status < SERVER_ERROR) crashingRequests.onCompleted(nowMs, request.fingerprint)
            is AttemptResult.Unreachable -> if (result.isRefused && !reach.isCutOff) crashingRequests.onRefused(nowMs, worker.entry)
            is AttemptResult.Unknown ->
                if (result.isConnectionLost && isExpectedToRun(worker)) {
                    crashingRequests.onLost(nowMs, attempt.sentAtMs, worker.entry, request.fingerprint)
                }
            is AttemptResult.Shed, is AttemptResult.Misdirected, is AttemptResult.RelayFailed -> Unit
        }
    }

    /** Returns whether the process of [worker] has not been announced to end: its entry is there and not draining. */
    private fun isExpectedToRun(worker: TrackedWorker): Boolean {
        val entry = entryOf(worker.entry.id) ?: return false
        return !worker.isLeaving && !worker.isMisdirected && entry.startedAtMs == worker.entry.startedAtMs
    }

    /** Returns whether [request] should not be sent to another worker, because it may have ended those to which it was sent. */
    private fun mayCrashWorkers(request: TrafficRequest): Boolean =
        request.lostAttempts >= MAX_LOST_ATTEMPTS || (request.lostAttempts > 0 && crashingRequests.isSuspected(request.fingerprint))

    private fun onAnswered(
        nowMs: Long,
        request: TrafficRequest,
        attempt: TrafficRequest.Attempt,
        status: Int,
    ): RequestAction {
        val durationMs = (nowMs - attempt.sentAtMs).toDouble()
        val saysNotRun = status in notRunStatuses
        if (status < SERVER_ERROR && !saysNotRun) {
            placement.onAnswered(nowMs, request.route, attempt.worker, attempt.wasCached, attempt.hadFreeSlot, durationMs)
            return RequestAction.Deliver
        }
        attempt.worker.onFailed(nowMs, isUnreachable = false)
        // To the caller such a status would promise that the request has not run, which the worker has not stated.
        val ending = if (saysNotRun) RequestAction.Fail("the worker answered $status") else RequestAction.Deliver
        return if (request.route.isIdempotent) nextAttempt.next(nowMs, request, ending) else ending
    }

    /** Retries a request that its last worker did not execute; another worker may get it even if the route is not idempotent. */
    private fun retryUnexecuted(
        nowMs: Long,
        request: TrafficRequest,
        isBudgetExempt: Boolean,
    ): RequestAction {
        val mayHaveExecuted = request.possibleExecutions > 0
        val lastFailure = if (mayHaveExecuted) RequestAction.Fail("an earlier sending may have run") else null
        return nextAttempt.next(nowMs, request, lastFailure, isBudgetExempt)
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Statuses by which callers are told that a request has not run: they come from this host alone, never from a worker. */
        val notRunStatuses = setOf(408, 421, 429, 503)

        /** Attempts of a request whose connection was lost without a response, after which it is sent to no other worker. */
        const val MAX_LOST_ATTEMPTS = 2
    }
}

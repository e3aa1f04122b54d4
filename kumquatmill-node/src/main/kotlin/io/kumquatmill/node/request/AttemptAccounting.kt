package io.kumquatmill.node.request

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.node.RequestSettings
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.limit.RequestLimiter
import io.kumquatmill.routing.health.AttemptSample
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.queue.ServiceTimes
import io.kumquatmill.routing.region.ResponseSizes

/**
 * Accounts for ended attempts: releases slots, adjusts link capacity and rate tokens, and records worker health, service
 * times and response sizes.
 */
internal class AttemptAccounting(
    private val region: RegionId,
    private val settings: RequestSettings,
    private val limiter: RequestLimiter,
    private val pool: WorkerPool,
    private val serviceTimes: ServiceTimes,
    private val responseSizes: ResponseSizes,
) {
    private val deferredReleases = DeferredSlotReleases(limiter::releaseSlot)

    /** Records [result] of [attempt] and returns its outcome for the request. */
    fun recordResult(
        nowMs: Long,
        request: ActiveRequest,
        attempt: ActiveAttempt,
        result: AttemptResult,
    ): Outcome {
        pool.onAttemptEnded(nowMs, attempt.worker.id, sampleOf(nowMs, attempt, result))
        return when (result) {
            is AttemptResult.Answered -> {
                recordResponse(nowMs, request, attempt, result)
            }

            is AttemptResult.NotSent -> {
                limiter.releaseSlot(nowMs, attempt.worker.id)
                limiter.refundRateToken(nowMs, request.workspace)
                Outcome.NotRun(RefusalReason.UPSTREAM_FAILED, settings.retryAfterMs)
            }

            is AttemptResult.Shed -> {
                limiter.releaseSlot(nowMs, attempt.worker.id)
                if (result.isDraining) pool.onDrainResponse(nowMs, attempt.worker.id)
                Outcome.NotRun(RefusalReason.NO_CAPACITY, result.retryAfterMs)
            }

            is AttemptResult.Unknown -> {
                deferSlotRelease(attempt)
                Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, settings.retryAfterMs)
            }
        }
    }

    /** Records that [attempt] was cancelled, because its caller disconnected or its deadline passed. Returns its outcome. */
    fun recordCancelled(
        nowMs: Long,
        attempt: ActiveAttempt,
    ): Outcome {
        pool.onAttemptEnded(nowMs, attempt.worker.id, AttemptSample.TimedOut(nowMs - attempt.sentAtMs))
        deferSlotRelease(attempt)
        return Outcome.Unknown(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs)
    }

    /** Releases the slots of attempts whose end was not observed and that must have ended by now. */
    fun releaseDueSlots(nowMs: Long) = deferredReleases.releaseDue(nowMs)

    private fun deferSlotRelease(attempt: ActiveAttempt) =
        deferredReleases.schedule(
            attempt.worker.id,
            attempt.deadlineAtMs + settings.slotReleaseMarginMs,
        )

    private fun recordResponse(
        nowMs: Long,
        request: ActiveRequest,
        attempt: ActiveAttempt,
        result: AttemptResult.Answered,
    ): Outcome {
        val route = request.state.route.id
        limiter.releaseSlot(nowMs, attempt.worker.id)
        serviceTimes.record(route, nowMs - attempt.sentAtMs)
        responseSizes.record(route, result.bodyBytes)
        if (attempt.worker.region != region) {
            limiter.chargeLink(nowMs, attempt.worker.region, region, result.bodyBytes - attempt.expectedResponseBytes)
        }
        return Outcome.Answered(result.status)
    }

    private fun sampleOf(
        nowMs: Long,
        attempt: ActiveAttempt,
        result: AttemptResult,
    ): AttemptSample =
        when (result) {
            is AttemptResult.Answered -> answeredSample(nowMs, attempt, result)
            is AttemptResult.NotSent -> AttemptSample.Unreachable
            is AttemptResult.Unknown -> AttemptSample.Failed
            is AttemptResult.Shed -> AttemptSample.Neutral
        }

    private fun answeredSample(
        nowMs: Long,
        attempt: ActiveAttempt,
        result: AttemptResult.Answered,
    ): AttemptSample = if (result.status >= MIN_SERVER_ERROR) AttemptSample.Failed else AttemptSample.Served(nowMs - attempt.sentAtMs)

    private companion object {
        const val MIN_SERVER_ERROR = 500
    }
}

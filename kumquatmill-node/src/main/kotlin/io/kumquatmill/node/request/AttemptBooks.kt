package io.kumquatmill.node.request

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.node.RequestSettings
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.limit.LedgerDesk
import io.kumquatmill.routing.health.AttemptSample
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.queue.ServiceTimes
import io.kumquatmill.routing.region.ResponseSizes

/** Books the end of attempts: slots, links, tokens, the workers' health and measured times. */
internal class AttemptBooks(
    private val region: RegionId,
    private val settings: RequestSettings,
    private val ledger: LedgerDesk,
    private val pool: WorkerPool,
    private val serviceTimes: ServiceTimes,
    private val answerSizes: ResponseSizes,
) {
    private val holds = SlotHolds(ledger::returnSlot)

    /** Books [result] of [attempt] and returns what it means for the request. */
    fun book(
        nowMs: Long,
        request: OpenRequest,
        attempt: ActiveAttempt,
        result: AttemptResult,
    ): Outcome {
        pool.onAttemptEnded(nowMs, attempt.worker.id, sampleOf(nowMs, attempt, result))
        return when (result) {
            is AttemptResult.Answered -> {
                bookAnswer(nowMs, request, attempt, result)
            }

            is AttemptResult.NotSent -> {
                ledger.returnSlot(nowMs, attempt.worker.id)
                ledger.returnRate(nowMs, request.workspace)
                Outcome.NotRun(RefusalReason.UPSTREAM_FAILED, settings.retryAfterMs)
            }

            is AttemptResult.Shed -> {
                ledger.returnSlot(nowMs, attempt.worker.id)
                if (result.isDraining) pool.onDrainResponse(nowMs, attempt.worker.id)
                Outcome.NotRun(RefusalReason.NO_CAPACITY, result.retryAfterMs)
            }

            is AttemptResult.Unknown -> {
                holdSlot(attempt)
                Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, settings.retryAfterMs)
            }
        }
    }

    /** Books that nobody waits for [attempt] any more. */
    fun abandon(
        nowMs: Long,
        attempt: ActiveAttempt,
    ): Outcome {
        pool.onAttemptEnded(nowMs, attempt.worker.id, AttemptSample.TimedOut(nowMs - attempt.sentAtMs))
        holdSlot(attempt)
        return Outcome.Unknown(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs)
    }

    /** Returns the slots of attempts whose end was not seen and that must be over by now. */
    fun releaseSlots(nowMs: Long) = holds.release(nowMs)

    private fun holdSlot(attempt: ActiveAttempt) = holds.hold(attempt.worker.id, attempt.deadlineAtMs + settings.slotHoldMarginMs)

    private fun bookAnswer(
        nowMs: Long,
        request: OpenRequest,
        attempt: ActiveAttempt,
        result: AttemptResult.Answered,
    ): Outcome {
        val route = request.state.route.id
        ledger.returnSlot(nowMs, attempt.worker.id)
        serviceTimes.record(route, nowMs - attempt.sentAtMs)
        answerSizes.record(route, result.bodyBytes)
        if (attempt.worker.region != region) {
            ledger.chargeLink(nowMs, attempt.worker.region, region, result.bodyBytes - attempt.expectedAnswerBytes)
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
    ): AttemptSample = if (result.status >= FIRST_SERVER_ERROR) AttemptSample.Failed else AttemptSample.Served(nowMs - attempt.sentAtMs)

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}

package io.kumquatmill.bench.measure

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.scenario.script.CallerLoad
import io.kumquatmill.scenario.virtual.CompletedCall
import kotlin.test.Test
import kotlin.test.assertEquals

class RateUsageTest {
    private val load = CallerLoad("clinic", "zapad", "status", ratePerS = 10.0)
    private val allowed = AllowedRate(ratePerS = 10.0, burst = 1)
    private val answered = Outcome.Answered(200)
    private val refused = Outcome.NotRun(RefusalReason.RATE_EXCEEDED, retryAfterMs = 100)

    private fun call(
        atMs: Long,
        outcome: Outcome?,
    ) = CompletedCall(load, atMs, atMs + 10, outcome)

    @Test
    fun `refusing a call inside the rate counts as a wrongful refusal`() {
        val use = rateUsage(listOf(call(1_000, answered), call(1_100, refused), call(1_200, answered)), allowed, startMs = 1_000)
        assertEquals(RateUsage(calls = 3, callsInsideRate = 3, wrongfulRefusals = 1, lastWrongfulMs = 100), use)
    }

    @Test
    fun `refusing calls above the rate is not wrongful, whichever calls are refused`() {
        val calls = (0L until 100).map { call(it * 50, if (it % 2 == 0L) refused else answered) }
        assertEquals(0, rateUsage(calls, allowed, startMs = 0).wrongfulRefusals)
    }

    @Test
    fun `an unknown outcome does not count as a refusal`() {
        assertEquals(1.0, rateUsage(listOf(call(0, null)), allowed, startMs = 0).usedFraction)
    }
}

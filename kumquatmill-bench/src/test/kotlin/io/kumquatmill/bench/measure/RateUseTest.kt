package io.kumquatmill.bench.measure

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.scenario.script.CallerLoad
import io.kumquatmill.scenario.virtual.CompletedCall
import kotlin.test.Test
import kotlin.test.assertEquals

class RateUseTest {
    private val load = CallerLoad("clinic", "zapad", "status", ratePerS = 10.0)
    private val allowed = AllowedRate(ratePerS = 10.0, burst = 1)
    private val answered = Outcome.Answered(200)
    private val refused = Outcome.NotRun(RefusalReason.RATE_EXCEEDED, retryAfterMs = 100)

    private fun call(
        atMs: Long,
        outcome: Outcome?,
    ) = CompletedCall(load, atMs, atMs + 10, outcome)

    @Test
    fun `a refused call inside the rate is wrongful`() {
        val use = rateUse(listOf(call(1_000, answered), call(1_100, refused), call(1_200, answered)), allowed, startMs = 1_000)
        assertEquals(RateUse(calls = 3, callsInsideRate = 3, wrongfulRefusals = 1, lastWrongfulMs = 100), use)
    }

    @Test
    fun `calls above the rate may be refused, whichever they are`() {
        val calls = (0L until 100).map { call(it * 50, if (it % 2 == 0L) refused else answered) }
        assertEquals(0, rateUse(calls, allowed, startMs = 0).wrongfulRefusals)
    }

    @Test
    fun `an unknown outcome is no refusal`() {
        assertEquals(1.0, rateUse(listOf(call(0, null)), allowed, startMs = 0).usedPart)
    }
}

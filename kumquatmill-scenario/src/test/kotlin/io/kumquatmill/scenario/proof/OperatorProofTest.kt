package io.kumquatmill.scenario.proof

import io.kumquatmill.scenario.script.latencyMs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val MAX_P99_TO_MEDIAN_RATIO = 1.25

class OperatorProofTest {
    @Test
    fun `a withdrawn key is refused on all hosts, also when the store fails right after`() {
        runScenario("withdrawal") {
            at(10.seconds) { withdrawKeys("clinics") }
            at(12.seconds) { storeDown() }
            lasts(40.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `a withdrawn key is refused on a host that cannot reach the store`() {
        runScenario("withdrawal, one host cannot reach the store") {
            at(5.seconds) { partitionFromStore("h5") }
            at(10.seconds) { withdrawKeys("clinics") }
            lasts(40.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `a plan that is edited during failures is never exceeded`() {
        runScenario("plan edits") {
            at(5.seconds) { scalePlan("hospital", 0.4) }
            at(8.seconds) { kill("h1") }
            at(12.seconds) { scalePlan("hospital", 2.0) }
            at(13.seconds) { freeze("h4") }
            at(20.seconds) { scalePlan("hospital", 0.5) }
            at(24.seconds) { unfreeze("h4") }
            lasts(45.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `a workspace at five times its rate does not affect the others`() {
        val run =
            runScenario("five times") {
                at(10.seconds) { scaleLoad("hospital", 10.0) }
                lasts(40.seconds)
            }.assertNoViolations()
        val p99Ms =
            run.result
                .callsBetween(10_000, 40_000)
                .groupBy { it.load.workspace }
                .minus("hospital")
                .mapValues { it.value.latencyMs(0.99) }
        val medianMs = p99Ms.values.sorted()[p99Ms.size / 2]
        val worst = p99Ms.maxBy { it.value }
        val bound = "expected at most $MAX_P99_TO_MEDIAN_RATIO times the median $medianMs ms"
        assertTrue(worst.value <= MAX_P99_TO_MEDIAN_RATIO * medianMs, "p99 of ${worst.key} is ${worst.value} ms, $bound")
        val disconnected = run.result.calls.filter { it.load.workspace != "hospital" && it.outcome == null }
        assertEquals(emptyList(), disconnected)
    }

    @Test
    fun `callers of a workspace on one host get at least 95 percent of its rate`() {
        val run =
            runScenario("one host") {
                clearLoads()
                load("hospital", region = "zapad", route = "status", ratePerS = 100.0)
                at(1.seconds) { scaleLoad("hospital", 4.0) }
                lasts(40.seconds)
            }.assertNoViolations()
        val answered = run.result.callsBetween(10_000, 40_000).count { it.outcome is io.kumquatmill.common.outcome.Outcome.Answered }
        val ratePerS = answered / 30.0
        assertTrue(ratePerS >= 190.0, "$ratePerS requests per second were answered, expected at least 95 % of 200")
    }
}

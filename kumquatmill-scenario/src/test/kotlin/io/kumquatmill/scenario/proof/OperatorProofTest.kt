package io.kumquatmill.scenario.proof

import io.kumquatmill.scenario.script.latencyMs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val WORST_SERVED_FACTOR = 1.25

class OperatorProofTest {
    @Test
    fun `a withdrawn key stops everywhere, also when the store goes down right after`() {
        prove("withdrawal") {
            at(10.seconds) { withdrawKeys("clinics") }
            at(12.seconds) { storeDown() }
            lasts(40.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `a withdrawn key stops on a host that can't reach the store`() {
        prove("withdrawal unseen by one host") {
            at(5.seconds) { cutFromStore("h5") }
            at(10.seconds) { withdrawKeys("clinics") }
            lasts(40.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `a plan that is edited in the middle of failures is never exceeded`() {
        prove("plan edits") {
            at(5.seconds) { scalePlan("hospital", 0.4) }
            at(8.seconds) { kill("h1") }
            at(12.seconds) { scalePlan("hospital", 2.0) }
            at(13.seconds) { freeze("h4") }
            at(20.seconds) { scalePlan("hospital", 0.5) }
            at(24.seconds) { thaw("h4") }
            lasts(45.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `a workspace at five times its rate costs the others nothing`() {
        val proof =
            prove("five times") {
                at(10.seconds) { rate("hospital", 10.0) }
                lasts(40.seconds)
            }.keepsAllPromises()
        val p99Ms =
            proof.result
                .callsBetween(10_000, 40_000)
                .groupBy { it.load.workspace }
                .minus("hospital")
                .mapValues { it.value.latencyMs(0.99) }
        val medianMs = p99Ms.values.sorted()[p99Ms.size / 2]
        val worst = p99Ms.maxBy { it.value }
        val bound = "expected at most $WORST_SERVED_FACTOR times the median $medianMs ms"
        assertTrue(worst.value <= WORST_SERVED_FACTOR * medianMs, "p99 of ${worst.key} is ${worst.value} ms, $bound")
        val refused = proof.result.calls.filter { it.load.workspace != "hospital" && it.outcome == null }
        assertEquals(emptyList(), refused)
    }

    @Test
    fun `callers of a workspace on one host get at least 95 percent of its rate`() {
        val proof =
            prove("one host") {
                clearLoads()
                load("hospital", region = "zapad", route = "status", ratePerS = 100.0)
                at(1.seconds) { rate("hospital", 4.0) }
                lasts(40.seconds)
            }.keepsAllPromises()
        val answered = proof.result.callsBetween(10_000, 40_000).count { it.outcome is io.kumquatmill.common.outcome.Outcome.Answered }
        val ratePerS = answered / 30.0
        assertTrue(ratePerS >= 190.0, "$ratePerS requests a second were answered, expected at least 95 % of 200")
    }
}

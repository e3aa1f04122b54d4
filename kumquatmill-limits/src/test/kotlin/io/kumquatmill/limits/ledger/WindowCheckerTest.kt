package io.kumquatmill.limits.ledger

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WindowCheckerTest {
    private fun excess(vararg takes: Pair<Long, Long>): Double {
        val checker = WindowChecker(ratePerS = 10.0, burst = 5.0)
        takes.forEach { (atMs, amount) -> checker.take(atMs, amount) }
        return checker.maxExcess
    }

    @Test
    fun `a burst, then the rate, then the burst again after a pause is accepted`() {
        assertEquals(0.0, excess(0L to 5L, 100L to 1L, 200L to 1L, 1_200L to 5L), 1e-9)
    }

    @Test
    fun `a second burst before the bucket has refilled is rejected`() {
        assertEquals(4.0, excess(0L to 5L, 100L to 5L), 1e-9)
    }

    @Test
    fun `a long window slightly above the rate is rejected`() {
        val takes = (0L..1_000L).map { it * 99 to 1L }.toTypedArray()
        assertTrue(excess(*takes) > 0, "excess ${excess(*takes)} of a rate of 10.1 a second for 99 s")
    }

    @Test
    fun `an excess early in the history is not forgotten`() {
        assertEquals(1.0, excess(0L to 6L, 100_000L to 1L), 1e-9)
    }
}

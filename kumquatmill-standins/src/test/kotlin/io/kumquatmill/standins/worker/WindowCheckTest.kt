package io.kumquatmill.standins.worker

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class WindowCheckTest {
    @Test
    fun `a burst followed by arrivals at the rate is within the limit`() {
        val times = List(5) { 0L } + (1..20).map { it * 100_000L }
        assertTrue(checkWindows(times, ratePerS = 10.0, burst = 5).isWithinLimit)
    }

    @Test
    fun `one simultaneous arrival above the burst exceeds the limit by one`() {
        val check = checkWindows(listOf(0, 0, 0), ratePerS = 10.0, burst = 2)
        assertFalse(check.isWithinLimit)
        assertEquals(1.0, check.excess)
    }

    @Test
    fun `the excess equals that of a brute-force search over all windows`() {
        val random = Random(7)
        repeat(50) {
            val times = List(40) { random.nextLong(2_000_000) }.sorted()
            val check = checkWindows(times, ratePerS = 12.0, burst = 3)
            assertEquals(bruteForceExcess(times, ratePerS = 12.0, burst = 3), check.excess, absoluteTolerance = 1e-6)
        }
    }

    private fun bruteForceExcess(
        times: List<Long>,
        ratePerS: Double,
        burst: Int,
    ): Double =
        times.indices
            .flatMap { first -> (first..times.lastIndex).map { last -> first to last } }
            .maxOf { (first, last) -> last - first + 1 - ratePerS * (times[last] - times[first]) / 1e6 - burst }
}

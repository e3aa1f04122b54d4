package io.kumquatmill.traffic.placement

import kotlin.test.Test
import kotlin.test.assertTrue

class SpillGuardTest {
    @Test
    fun `a burst moves no more than a step from one window to the next`() {
        val guard = SpillGuard(windowMs = 2_000, step = 0.05)
        val parts =
            (0 until 10).map { window ->
                var elsewhere = 0
                repeat(400) { index ->
                    val nowMs = window * 2_000L + index * 5
                    val leaves = window >= 2 && guard.mayLeave(nowMs)
                    guard.count(nowMs, leaves)
                    if (leaves) elsewhere++
                }
                elsewhere / 400.0
            }
        val steps = parts.zipWithNext { before, after -> after - before }
        assertTrue(steps.all { it <= 0.055 }, "expected steps of 0.05 at most, found $steps")
        assertTrue(parts.last() > 0.3, "expected the part to grow, found $parts")
    }

    @Test
    fun `requests that belong elsewhere come back by no more than a step from one window to the next`() {
        val guard = SpillGuard(windowMs = 2_000, step = 0.05)
        val parts =
            (0 until 8).map { window ->
                var elsewhere = 0
                repeat(400) { index ->
                    val nowMs = window * 2_000L + index * 5
                    val leaves = window < 2 || !guard.mayStay(nowMs)
                    guard.count(nowMs, leaves)
                    if (leaves) elsewhere++
                }
                elsewhere / 400.0
            }
        val steps = parts.drop(1).zipWithNext { before, after -> before - after }
        assertTrue(steps.all { it <= 0.055 }, "expected steps of 0.05 at most, found $steps")
    }
}

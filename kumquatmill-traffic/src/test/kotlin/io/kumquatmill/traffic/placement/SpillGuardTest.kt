package io.kumquatmill.traffic.placement

import kotlin.test.Test
import kotlin.test.assertTrue

class SpillGuardTest {
    @Test
    fun `a burst moves no more than a step from one window to the next`() {
        val guard = SpillGuard(windowMs = 2_000, step = 0.05, firstPart = 0.0)
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
        val guard = SpillGuard(windowMs = 2_000, step = 0.05, firstPart = 0.0)
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

    @Test
    fun `the first window is bound to the part that was set for it`() {
        val guard = SpillGuard(windowMs = 2_000, step = 0.05, firstPart = 0.7)
        val elsewhere =
            (0 until 400).count { index ->
                val leaves = !guard.mayStay(index * 5L)
                guard.count(index * 5L, leaves)
                leaves
            }
        assertTrue(elsewhere >= 0.64 * 400, "expected 0.65 of 400 requests elsewhere, found $elsewhere")
    }
}

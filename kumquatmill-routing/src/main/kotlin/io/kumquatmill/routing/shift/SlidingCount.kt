package io.kumquatmill.routing.shift

/** Counts events in the latest interval and in the [memoryIntervals] before it, in steps of a twentieth of the interval. */
internal class SlidingCount(
    intervalMs: Long,
    private val memoryIntervals: Int = 1,
) {
    private val stepMs = (intervalMs / STEPS).coerceAtLeast(1)
    private val counts = IntArray((1 + memoryIntervals) * STEPS)
    private var latestStep = Long.MIN_VALUE

    fun add(nowMs: Long) {
        advance(nowMs)
        counts[indexOf(latestStep)] += 1
    }

    /** Returns the count of the latest interval, which ends with the present step. */
    fun current(nowMs: Long): Int = sum(nowMs, firstAge = 0)

    /** Returns the greatest count of the intervals before the latest. */
    fun previousPeak(nowMs: Long): Int = (1..memoryIntervals).maxOf { sum(nowMs, firstAge = it * STEPS) }

    /** Returns the count of the present step. */
    fun step(nowMs: Long): Int {
        advance(nowMs)
        return counts[indexOf(latestStep)]
    }

    private fun sum(
        nowMs: Long,
        firstAge: Int,
    ): Int {
        advance(nowMs)
        var sum = 0
        for (age in firstAge until firstAge + STEPS) {
            sum += counts[indexOf(latestStep - age)]
        }
        return sum
    }

    private fun advance(nowMs: Long) {
        val step = Math.floorDiv(nowMs, stepMs)
        if (step <= latestStep) return
        val elapsed = if (latestStep == Long.MIN_VALUE) counts.size.toLong() else step - latestStep
        for (age in 0 until minOf(elapsed, counts.size.toLong())) {
            counts[indexOf(step - age)] = 0
        }
        latestStep = step
    }

    private fun indexOf(step: Long): Int = Math.floorMod(step, counts.size.toLong()).toInt()

    companion object {
        const val STEPS: Int = 20
    }
}

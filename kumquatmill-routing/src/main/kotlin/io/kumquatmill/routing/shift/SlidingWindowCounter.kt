package io.kumquatmill.routing.shift

/** Counts events over a sliding interval and the [lookbackIntervals] before it, with a resolution of [STEPS_PER_INTERVAL]. */
internal class SlidingWindowCounter(
    intervalMs: Long,
    private val lookbackIntervals: Int = 1,
) {
    private val stepMs = (intervalMs / STEPS_PER_INTERVAL).coerceAtLeast(1)
    private val counts = IntArray((1 + lookbackIntervals) * STEPS_PER_INTERVAL)
    private var latestStep = Long.MIN_VALUE

    fun add(nowMs: Long) {
        advance(nowMs)
        counts[indexOf(latestStep)] += 1
    }

    /** Returns the count of the latest interval, which ends with the current step. */
    fun currentIntervalCount(nowMs: Long): Int = sum(nowMs, firstAgeSteps = 0)

    /** Returns the highest count among the intervals before the latest one. */
    fun previousIntervalsPeak(nowMs: Long): Int = (1..lookbackIntervals).maxOf { sum(nowMs, firstAgeSteps = it * STEPS_PER_INTERVAL) }

    /** Returns the count of the current step. */
    fun currentStepCount(nowMs: Long): Int {
        advance(nowMs)
        return counts[indexOf(latestStep)]
    }

    private fun sum(
        nowMs: Long,
        firstAgeSteps: Int,
    ): Int {
        advance(nowMs)
        var sum = 0
        for (age in firstAgeSteps until firstAgeSteps + STEPS_PER_INTERVAL) {
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
        const val STEPS_PER_INTERVAL: Int = 20
    }
}

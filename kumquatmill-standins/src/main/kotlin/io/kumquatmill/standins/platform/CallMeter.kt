package io.kumquatmill.standins.platform

import kotlinx.serialization.Serializable

/** Most reads and writes that arrived within one second, at any time so far; a watch counts as one read. */
@Serializable
data class PeakRates(
    val readsPerS: Int = 0,
    val writesPerS: Int = 0,
)

/** Measures the peak rates of calls over sliding seconds. */
internal class CallMeter {
    private val readTimesMs = ArrayDeque<Long>()
    private val writeTimesMs = ArrayDeque<Long>()

    var peak = PeakRates()
        private set

    /** Counts a call at [nowMs], and returns how many of its kind came within the last second. */
    fun record(
        nowMs: Long,
        isWrite: Boolean,
    ): Int {
        val times = if (isWrite) writeTimesMs else readTimesMs
        times.addLast(nowMs)
        while (times.first() <= nowMs - WINDOW_MS) {
            times.removeFirst()
        }
        peak = PeakRates(maxOf(peak.readsPerS, readTimesMs.size), maxOf(peak.writesPerS, writeTimesMs.size))
        return times.size
    }

    private companion object {
        const val WINDOW_MS = 1_000L
    }
}

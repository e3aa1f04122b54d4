package io.kumquatmill.standins.platform

import kotlinx.serialization.Serializable

/** Highest numbers of reads and of writes received within any one-second window so far; a watch counts as one read. */
@Serializable
data class PeakRates(
    val readsPerS: Int = 0,
    val writesPerS: Int = 0,
)

/** Measures the peak rates of reads and writes over a sliding window of one second. */
internal class CallMeter {
    private val readTimesMs = ArrayDeque<Long>()
    private val writeTimesMs = ArrayDeque<Long>()

    var peak = PeakRates()
        private set

    /** Records a call at [nowMs] and returns how many calls of its kind were received within the last second. */
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

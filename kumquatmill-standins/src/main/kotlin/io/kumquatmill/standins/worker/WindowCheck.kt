package io.kumquatmill.standins.worker

import kotlinx.serialization.Serializable

private const val MICROSECONDS_PER_S = 1_000_000.0

/**
 * Result of checking arrivals against the limit of rate x window + burst, over time windows of all lengths.
 *
 * The worst window starts at [windowStartUs], lasts [windowUs] and contains [windowArrivals] arrivals. [excess] is the number
 * of requests by which it exceeds the limit; zero or a negative value means that all windows are within the limit.
 */
@Serializable
data class WindowCheck(
    val arrivals: Int,
    val isWithinLimit: Boolean,
    val excess: Double,
    val windowStartUs: Long,
    val windowUs: Long,
    val windowArrivals: Int,
)

/** Checks arrivals at [timesUs] against [ratePerS] and [burst], in windows that include both endpoints. */
fun checkWindows(
    timesUs: List<Long>,
    ratePerS: Double,
    burst: Int,
): WindowCheck {
    val sorted = timesUs.sorted()
    val ratePerUs = ratePerS / MICROSECONDS_PER_S
    var start = 0
    var worst = Window(first = 0, last = -1, excess = -burst.toDouble())
    for (index in sorted.indices) {
        if (index - ratePerUs * sorted[index] < start - ratePerUs * sorted[start]) {
            start = index
        }
        val excess = index - start + 1 - ratePerUs * (sorted[index] - sorted[start]) - burst
        if (excess > worst.excess) {
            worst = Window(start, index, excess)
        }
    }
    return worst.toCheck(sorted)
}

private data class Window(
    val first: Int,
    val last: Int,
    val excess: Double,
) {
    fun toCheck(timesUs: List<Long>): WindowCheck =
        WindowCheck(
            arrivals = timesUs.size,
            isWithinLimit = excess <= 0,
            excess = excess,
            windowStartUs = timesUs.getOrElse(first) { 0 },
            windowUs = if (last < 0) 0 else timesUs[last] - timesUs[first],
            windowArrivals = last - first + 1,
        )
}

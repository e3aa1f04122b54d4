package io.kumquatmill.bench.overload

import io.kumquatmill.bench.table.formatFigure
import io.kumquatmill.bench.table.textTable

private const val PERCENT = 100

/** Returns [results] as a table in percent: means over the seeds of each pattern and policy, but the maximum of the shifted fraction. */
internal fun replayTable(results: List<ReplayResult>): String {
    val header =
        listOf("pattern", "policy", "seeds", "earned", "worst zone", "in time", "refused", "failed", "warm", "own region", "max shifted")
    return textTable(header, results.groupBy { it.pattern to it.policy }.values.map(::row))
}

private fun row(results: List<ReplayResult>): List<String> {
    val mean = { value: (ReplayResult) -> Double -> formatFigure(results.map(value).average() * PERCENT) }
    return listOf(
        results.first().pattern,
        results.first().policy,
        results.size.toString(),
        mean { it.earnedFraction },
        mean { it.worstZoneEarnedFraction },
        mean { it.inTimeFraction },
        mean { it.refusedFraction },
        mean { it.failedFraction },
        mean { it.warmFraction },
        mean { it.localFraction },
        formatFigure(results.maxOf { it.maxShiftedFraction } * PERCENT),
    )
}

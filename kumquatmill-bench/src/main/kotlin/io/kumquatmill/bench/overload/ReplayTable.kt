package io.kumquatmill.bench.overload

import io.kumquatmill.bench.table.formatFigure
import io.kumquatmill.bench.table.textTable

private const val PERCENT = 100

/** Returns [results] as a table in percent: means over the seeds of each pattern and policy, but the maximum of the shifted fraction. */
internal fun replayTable(results: List<ReplayResult>): String {
    val header =
        listOf(
            "pattern",
            "policy",
            "seeds",
            "earned",
            "worst zone",
            "worst kind",
            "in time",
            "late",
            "refused",
            "failed",
            "warm",
            "own region",
            "max shifted",
        )
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
        mean { it.worstKindEarnedFraction },
        mean { it.inTimeFraction },
        mean { it.lateFraction },
        mean { it.refusedFraction },
        mean { it.failedFraction },
        mean { it.warmFraction },
        mean { it.localFraction },
        formatFigure(results.maxOf { it.maxShiftedFraction } * PERCENT),
    )
}

/** Returns who bears the cost in [results], as a table in percent: means over the seeds of each pattern, policy and group of requests. */
internal fun costTable(results: List<ReplayResult>): String {
    val header = listOf("pattern", "group", "policy", "benefit", "earned", "late", "refused", "failed")
    val rows =
        results
            .flatMap { result -> result.groups.map { Triple(result.pattern, it.name, result.policy) to it } }
            .groupBy({ it.first }, { it.second })
            .toSortedMap(compareBy({ it.first }, { it.second }, { it.third }))
            .map { (key, groups) -> costRow(key, groups) }
    return textTable(header, rows)
}

private fun costRow(
    key: Triple<String, String, String>,
    groups: List<GroupResult>,
): List<String> {
    val percent = { value: (GroupResult) -> Double -> formatFigure(groups.map(value).average() * PERCENT) }
    return listOf(
        key.first,
        key.second,
        key.third,
        formatFigure(groups.map { it.earned }.average()),
        percent { it.earnedFraction },
        percent { it.lateFraction },
        percent { it.refusedFraction },
        percent { it.failedFraction },
    )
}

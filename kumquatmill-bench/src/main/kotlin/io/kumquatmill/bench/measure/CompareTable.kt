package io.kumquatmill.bench.measure

import io.kumquatmill.bench.table.formatFigure
import io.kumquatmill.bench.table.textTable

private const val PERCENT = 100

/**
 * Returns [runs] as a table with one row per experiment and policy.
 *
 * Counts are summed over the seeds; all other values are those of the worst seed.
 */
internal fun compareTable(runs: List<RunMeasures>): String {
    val header =
        listOf(
            "experiment",
            "policy",
            "seeds",
            "calls",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "worst/median p99",
            "refused inside rate",
            "% refused inside rate",
            "last refused at ms",
            "least % of rate used",
            "unknown",
            "drain ms",
            "least free slots",
            "violations",
        )
    return textTable(header, runs.groupBy { it.experiment to it.policy }.values.map(::row))
}

private fun row(runs: List<RunMeasures>): List<String> =
    listOf(
        runs.first().experiment,
        runs.first().policy,
        runs.size.toString(),
        runs.sumOf { it.calls }.toString(),
        runs.maxOf { it.p50Ms }.toString(),
        runs.maxOf { it.p99Ms }.toString(),
        runs.maxOf { it.p999Ms }.toString(),
        formatFigure(runs.maxOf { it.worstToMedianP99 }),
        runs.sumOf { it.wrongfulRefusals }.toString(),
        formatFigure(runs.maxOf { it.wrongfulRefusalFraction } * PERCENT),
        runs.mapNotNull { it.lastWrongfulMs }.maxOrNull()?.toString() ?: "-",
        formatFigure(runs.minOf { it.leastRateUsed } * PERCENT),
        runs.sumOf { it.unknownOutcomes }.toString(),
        runs.mapNotNull { it.drainMs }.maxOrNull()?.toString() ?: "-",
        leastFree(runs),
        violations(runs),
    )

private fun leastFree(runs: List<RunMeasures>): String =
    runs
        .flatMap { it.leastFreeSlots.entries }
        .groupBy({ it.key }, { it.value })
        .entries
        .joinToString(" ") { (region, slots) -> "$region ${slots.min()}" }

private fun violations(runs: List<RunMeasures>): String {
    val counts = runs.flatMap { it.violations.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
    return if (counts.isEmpty()) "0" else counts.entries.joinToString(" ") { "${it.key} ${it.value}" }
}

package io.kumquatmill.bench.measure

import io.kumquatmill.bench.table.figure
import io.kumquatmill.bench.table.textTable

private const val PERCENT = 100

/** Returns [runs] as a table, with the worst seed of each experiment and policy. */
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
            "% of them",
            "last at ms",
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
        figure(runs.maxOf { it.worstToMedianP99 }),
        runs.sumOf { it.wrongfulRefusals }.toString(),
        figure(runs.maxOf { it.wrongfulPart } * PERCENT),
        runs.mapNotNull { it.lastWrongfulMs }.maxOrNull()?.toString() ?: "-",
        figure(runs.minOf { it.leastRateUsed } * PERCENT),
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

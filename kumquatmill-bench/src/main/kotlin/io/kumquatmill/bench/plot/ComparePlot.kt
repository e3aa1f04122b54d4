package io.kumquatmill.bench.plot

import io.kumquatmill.bench.measure.RunMeasures
import io.kumquatmill.bench.overload.ReplayResult
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat
import java.nio.file.Files
import java.nio.file.Path

private const val WIDTH = 1_200
private const val HEIGHT = 600
private const val PERCENT = 100

/** Writes the percentage of requests refused inside their rate, by experiment and policy, as SVG to [file]. */
internal fun plotWrongfulRefusals(
    runs: List<RunMeasures>,
    file: Path,
) = plot(runs, file, "requests refused inside their rate", "%") { it.wrongfulRefusalFraction * PERCENT }

/** Writes the 99th percentile latency, by experiment and policy, as SVG to [file]. */
internal fun plotLatency(
    runs: List<RunMeasures>,
    file: Path,
) = plot(runs, file, "latency, 99th percentile", "ms") { it.p99Ms.toDouble() }

/** Writes the fraction of the possible benefit that was earned, by load pattern and policy, as SVG to [file]. */
internal fun plotEarnedBenefit(
    results: List<ReplayResult>,
    file: Path,
) {
    val bars =
        results.groupBy { it.pattern to it.policy }.map { (names, all) ->
            Bar(names.first, names.second, all.map { it.earnedFraction }.average())
        }
    plotBars(bars, file, "benefit earned", "load pattern", "fraction of the possible benefit")
}

private class Bar(
    val group: String,
    val series: String,
    val value: Double,
)

private fun plot(
    runs: List<RunMeasures>,
    file: Path,
    title: String,
    unit: String,
    valueOf: (RunMeasures) -> Double,
) {
    val bars = runs.groupBy { it.experiment to it.policy }.map { (names, all) -> Bar(names.first, names.second, all.maxOf(valueOf)) }
    plotBars(bars, file, title, "experiment", unit)
}

private fun plotBars(
    bars: List<Bar>,
    file: Path,
    title: String,
    groupTitle: String,
    unit: String,
) {
    val chart =
        CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(groupTitle)
            .yAxisTitle(unit)
            .build()
    val groups = bars.map { it.group }.distinct()
    bars.groupBy { it.series }.forEach { (series, all) ->
        chart.addSeries(series, groups, groups.map { group -> all.find { it.group == group }?.value ?: 0.0 })
    }
    Files.createDirectories(file.toAbsolutePath().parent)
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG)
}

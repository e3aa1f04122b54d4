package io.kumquatmill.bench.plot

import io.kumquatmill.bench.measure.RunMeasures
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat
import java.nio.file.Files
import java.nio.file.Path

private const val WIDTH = 1_200
private const val HEIGHT = 600
private const val PERCENT = 100

/** Writes the part of refused requests inside their rate, by experiment and policy, as SVG to [file]. */
internal fun plotWrongfulRefusals(
    runs: List<RunMeasures>,
    file: Path,
) = plot(runs, file, "requests refused inside their rate", "%") { it.wrongfulPart * PERCENT }

/** Writes the latency at the 99th percentile, by experiment and policy, as SVG to [file]. */
internal fun plotLatency(
    runs: List<RunMeasures>,
    file: Path,
) = plot(runs, file, "latency, 99th percentile", "ms") { it.p99Ms.toDouble() }

private fun plot(
    runs: List<RunMeasures>,
    file: Path,
    title: String,
    unit: String,
    valueOf: (RunMeasures) -> Double,
) {
    val chart =
        CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("experiment")
            .yAxisTitle(unit)
            .build()
    val experiments = runs.map { it.experiment }.distinct()
    runs.groupBy { it.policy }.forEach { (policy, ofPolicy) ->
        val worst = ofPolicy.groupBy { it.experiment }.mapValues { (_, all) -> all.maxOf(valueOf) }
        chart.addSeries(policy, experiments, experiments.map { worst[it] ?: 0.0 })
    }
    Files.createDirectories(file.parent)
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG)
}

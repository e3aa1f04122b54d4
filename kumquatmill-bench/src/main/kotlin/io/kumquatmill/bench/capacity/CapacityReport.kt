package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fit.Line
import io.kumquatmill.bench.table.formatFigure
import io.kumquatmill.bench.table.textTable
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

private val prettyJson = Json { prettyPrint = true }

/** A [Series] with its regression line and the values that the line predicts for the current and the target size. */
@Serializable
internal data class FittedSeries(
    val series: Series,
    val line: Line,
    val today: Double,
    val target: Double,
)

internal fun Series.fitted() = FittedSeries(this, line, line.at(todaySize), line.at(targetSize))

/** Returns [series] and their regression lines as JSON. */
internal fun capacityJson(series: List<Series>): String = prettyJson.encodeToString(series.map { it.fitted() })

/** Returns [series] and their regression lines as a table. */
internal fun capacityTable(series: List<Series>): String =
    textTable(
        listOf("role", "quantity", "unit", "dimension", "measured (size: value)", "slope", "intercept", "residual", "today", "target"),
        series.map { it.fitted().toRow() },
    )

private fun FittedSeries.toRow(): List<String> =
    listOf(
        series.role,
        series.quantity,
        series.unit,
        series.dimension,
        series.points.joinToString(", ") { "${it.size.toLong()}: ${formatFigure(it.value)}" },
        formatFigure(line.slope),
        formatFigure(line.intercept),
        formatFigure(line.residual),
        "${series.todaySize.toLong()}: ${formatFigure(today)}",
        "${series.targetSize.toLong()}: ${formatFigure(target)}",
    )

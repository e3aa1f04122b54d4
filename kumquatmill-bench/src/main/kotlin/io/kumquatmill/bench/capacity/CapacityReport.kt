package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fit.Line
import io.kumquatmill.bench.table.figure
import io.kumquatmill.bench.table.textTable
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

private val prettyJson = Json { prettyPrint = true }

/** A [Series] with its line and what the line gives for today and the target. */
@Serializable
internal data class FittedSeries(
    val series: Series,
    val line: Line,
    val today: Double,
    val target: Double,
)

internal fun Series.fitted() = FittedSeries(this, line, line.at(todaySize), line.at(targetSize))

/** Returns [series] with their lines as JSON. */
internal fun capacityJson(series: List<Series>): String = prettyJson.encodeToString(series.map { it.fitted() })

/** Returns [series] with their lines as a table. */
internal fun capacityTable(series: List<Series>): String =
    textTable(
        listOf("role", "quantity", "unit", "by", "measured (size: value)", "slope", "intercept", "residual", "today", "target"),
        series.map { it.fitted().toRow() },
    )

private fun FittedSeries.toRow(): List<String> =
    listOf(
        series.role,
        series.quantity,
        series.unit,
        series.dimension,
        series.points.joinToString(", ") { "${it.size.toLong()}: ${figure(it.value)}" },
        figure(line.slope),
        figure(line.intercept),
        figure(line.residual),
        "${series.todaySize.toLong()}: ${figure(today)}",
        "${series.targetSize.toLong()}: ${figure(target)}",
    )

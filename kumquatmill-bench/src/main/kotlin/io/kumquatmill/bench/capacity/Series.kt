package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fit.Line
import io.kumquatmill.bench.fit.Point
import io.kumquatmill.bench.table.formatFigure
import kotlinx.serialization.Serializable

/**
 * A cost of one role of an entry host, measured for several sizes of a deployment.
 *
 * @property dimension what the sizes count, for example hosts or workspaces
 * @property todaySize size of a current deployment
 * @property targetSize size that the system must support
 */
@Serializable
data class Series(
    val role: String,
    val quantity: String,
    val unit: String,
    val dimension: String,
    val points: List<Point>,
    val todaySize: Double,
    val targetSize: Double,
) {
    /** Linear regression of the points. */
    val line: Line
        get() = Line.fit(points)
}

/** Collects the points of each [Series] of one role and prints them to standard error as they are measured. */
internal class SeriesCollector(
    private val role: String,
    private val dimension: String,
    private val todaySize: Double,
    private val targetSize: Double,
) {
    private val points = LinkedHashMap<Pair<String, String>, MutableList<Point>>()

    fun add(
        quantity: String,
        unit: String,
        size: Int,
        value: Double,
    ) {
        System.err.println("$role, $quantity, $size $dimension: ${formatFigure(value)} $unit")
        points.getOrPut(quantity to unit) { mutableListOf() } += Point(size.toDouble(), value)
    }

    fun series(): List<Series> =
        points.map { (name, measured) -> Series(role, name.first, name.second, dimension, measured, todaySize, targetSize) }
}

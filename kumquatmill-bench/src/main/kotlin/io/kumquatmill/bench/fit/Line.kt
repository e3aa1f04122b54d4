package io.kumquatmill.bench.fit

import kotlinx.serialization.Serializable
import kotlin.math.sqrt

/** A measured [value] at a [size]. */
@Serializable
data class Point(
    val size: Double,
    val value: Double,
)

/** A regression line; [residual] is the root mean square of the vertical distances between the points and the line. */
@Serializable
data class Line(
    val slope: Double,
    val intercept: Double,
    val residual: Double,
) {
    /** Returns the predicted value at [size]. */
    fun at(size: Double): Double = intercept + slope * size

    companion object {
        /** Returns the least-squares line through [points]; if all have the same size, it is horizontal. */
        fun fit(points: List<Point>): Line {
            require(points.isNotEmpty()) { "cannot fit a line to no points: measure at least one size" }
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val sumSquares = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = if (sumSquares == 0.0) 0.0 else points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / sumSquares
            val intercept = meanValue - slope * meanSize
            val meanSquare = points.map { it.value - intercept - slope * it.size }.map { it * it }.average()
            return Line(slope, intercept, sqrt(meanSquare))
        }
    }
}

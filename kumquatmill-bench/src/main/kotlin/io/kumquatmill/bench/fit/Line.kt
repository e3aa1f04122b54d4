package io.kumquatmill.bench.fit

import kotlinx.serialization.Serializable
import kotlin.math.sqrt

/** A measured [value] at a [size]. */
@Serializable
data class Point(
    val size: Double,
    val value: Double,
)

/** A straight line through measured points; [residual] is the root mean square distance of the points from it. */
@Serializable
data class Line(
    val slope: Double,
    val intercept: Double,
    val residual: Double,
) {
    /** Returns the value of the line at [size]. */
    fun at(size: Double): Double = intercept + slope * size

    companion object {
        /** Returns the line with the least sum of squared distances from [points]. */
        fun fit(points: List<Point>): Line {
            require(points.isNotEmpty()) { "no points to fit a line through: measure at least one size" }
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = if (spread == 0.0) 0.0 else points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
            val intercept = meanValue - slope * meanSize
            val meanSquare = points.map { it.value - intercept - slope * it.size }.map { it * it }.average()
            return Line(slope, intercept, sqrt(meanSquare))
        }
    }
}

package io.kumquatmill.bench.check

import kotlinx.serialization.Serializable

/**
 * A measured value and its limit, which follows from the targets of the product.
 *
 * @property isUpper whether [limit] is the maximum; otherwise it is the minimum
 */
@Serializable
data class Bound(
    val name: String,
    val value: Double,
    val limit: Double,
    val isUpper: Boolean = true,
) {
    /** Whether the value is within the limit. */
    val holds: Boolean
        get() = if (isUpper) value <= limit else value >= limit

    override fun toString(): String {
        val relation = if (isUpper) "at most" else "at least"
        return "${if (holds) "holds" else "FALLS SHORT"}: $name is ${"%.4g".format(value)}, expected $relation ${"%.4g".format(limit)}"
    }
}

package io.kumquatmill.bench.check

import kotlinx.serialization.Serializable

/** A bound that follows from the targets of the product, with the value that was measured. */
@Serializable
data class Bound(
    val name: String,
    val value: Double,
    val limit: Double,
    val isUpper: Boolean = true,
) {
    /** Whether the value is on the right side of the limit. */
    val holds: Boolean
        get() = if (isUpper) value <= limit else value >= limit

    override fun toString(): String {
        val relation = if (isUpper) "at most" else "at least"
        return "${if (holds) "holds" else "FALLS SHORT"}: $name is ${"%.4g".format(value)}, expected $relation ${"%.4g".format(limit)}"
    }
}

package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of a route in the route table. */
@Serializable
@JvmInline
value class RouteId(
    val value: String,
) : Comparable<RouteId> {
    override fun compareTo(other: RouteId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

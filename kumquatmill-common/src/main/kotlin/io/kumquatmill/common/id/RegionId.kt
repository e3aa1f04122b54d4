package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of a region: a group of availability zones that are close to each other. */
@Serializable
@JvmInline
value class RegionId(
    val value: String,
) : Comparable<RegionId> {
    override fun compareTo(other: RegionId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

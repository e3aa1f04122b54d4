package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of an entry host, unique in the fleet. */
@Serializable
@JvmInline
value class HostId(
    val value: String,
) : Comparable<HostId> {
    override fun compareTo(other: HostId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

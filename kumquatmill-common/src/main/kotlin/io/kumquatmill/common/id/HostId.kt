package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of a host, either an entry host or one that runs workers; unique in the platform's host list. */
@Serializable
@JvmInline
value class HostId(
    val value: String,
) : Comparable<HostId> {
    override fun compareTo(other: HostId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

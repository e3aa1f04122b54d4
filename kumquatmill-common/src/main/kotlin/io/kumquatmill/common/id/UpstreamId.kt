package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of an upstream: a service provided by a set of workers. */
@Serializable
@JvmInline
value class UpstreamId(
    val value: String,
) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

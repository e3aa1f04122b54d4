package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of an upstream: a service that a set of workers provides. */
@Serializable
@JvmInline
value class UpstreamId(
    val value: String,
) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

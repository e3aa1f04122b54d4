package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of a worker: one process of an upstream. */
@Serializable
@JvmInline
value class WorkerId(
    val value: String,
) : Comparable<WorkerId> {
    override fun compareTo(other: WorkerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

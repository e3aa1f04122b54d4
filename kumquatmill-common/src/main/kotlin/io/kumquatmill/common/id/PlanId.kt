package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of a plan, which states the rate, burst and routes of the workspaces on it. */
@Serializable
@JvmInline
value class PlanId(
    val value: String,
) : Comparable<PlanId> {
    override fun compareTo(other: PlanId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of a plan, which defines the rate, burst and routes of its workspaces. */
@Serializable
@JvmInline
value class PlanId(
    val value: String,
) : Comparable<PlanId> {
    override fun compareTo(other: PlanId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

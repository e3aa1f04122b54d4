package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of a workspace: a customer, whose usage is limited by its plan. */
@Serializable
@JvmInline
value class WorkspaceId(
    val value: String,
) : Comparable<WorkspaceId> {
    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

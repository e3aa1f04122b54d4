package io.kumquatmill.traffic.fleet

import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.WorkspaceId

/**
 * Short form of a workspace's name in reports between hosts, as large fleets exchange many of them.
 *
 * Two workspaces may have the same tag; such workspaces must not be reported.
 */
@JvmInline
value class WorkspaceTag(
    val value: Int,
) {
    companion object {
        /** Returns the tag of the workspace named [id]: the low 32 bits of its hash. */
        fun of(id: WorkspaceId): WorkspaceTag = WorkspaceTag(stableHash(id.value).toInt())
    }
}

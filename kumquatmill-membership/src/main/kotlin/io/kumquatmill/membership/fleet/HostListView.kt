package io.kumquatmill.membership.fleet

import io.kumquatmill.common.id.HostId
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState

/**
 * What the platform's lagging list of hosts says.
 *
 * A host that the list does not show is gone only when it was listed before or has been missing for [lagMs], because the
 * list is late to show new hosts. A list that does not show [self] is not believed about others.
 */
internal class HostListView(
    private val self: HostId,
    private val lagMs: Long,
) {
    private var listed: Map<HostId, HostListState> = emptyMap()
    private val everListed = mutableSetOf<HostId>()
    private var believedSinceMs: Long? = null

    fun update(
        nowMs: Long,
        entries: List<HostListEntry>,
    ) {
        listed = entries.associate { it.host to it.state }
        everListed += listed.keys
        believedSinceMs = if (self in listed) believedSinceMs ?: nowMs else null
    }

    fun isGone(
        nowMs: Long,
        host: HostId,
    ): Boolean {
        val sinceMs = believedSinceMs ?: return false
        return host !in listed && (host in everListed || nowMs - sinceMs >= lagMs)
    }

    fun isLeaving(host: HostId): Boolean = listed[host] == HostListState.LEAVING
}

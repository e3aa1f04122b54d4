package io.kumquatmill.membership.fleet

import io.kumquatmill.common.id.HostId
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState

/**
 * Evaluates the platform's host list, which lags behind.
 *
 * A host that is missing from the list counts as gone only if it was listed before or the list has been trusted for [lagMs],
 * because the list shows new hosts late. A list without [self] is not trusted.
 */
internal class HostListView(
    private val self: HostId,
    private val lagMs: Long,
) {
    private var listed: Map<HostId, HostListState> = emptyMap()
    private val everListed = mutableSetOf<HostId>()
    private var trustedSinceMs: Long? = null

    fun update(
        nowMs: Long,
        entries: List<HostListEntry>,
    ) {
        listed = entries.associate { it.host to it.state }
        everListed += listed.keys
        trustedSinceMs = if (self in listed) trustedSinceMs ?: nowMs else null
    }

    fun isGone(
        nowMs: Long,
        host: HostId,
    ): Boolean {
        val sinceMs = trustedSinceMs ?: return false
        return host !in listed && (host in everListed || nowMs - sinceMs >= lagMs)
    }

    fun isLeaving(host: HostId): Boolean = listed[host] == HostListState.LEAVING
}

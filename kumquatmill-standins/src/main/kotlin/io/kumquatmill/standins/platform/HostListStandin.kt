package io.kumquatmill.standins.platform

import io.kumquatmill.common.id.HostId
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState

/**
 * In-memory stand-in for the platform's list of live and leaving hosts; a change becomes visible to readers after [lagMs].
 *
 * This class is not thread-safe.
 */
class HostListStandin(
    var lagMs: Long = 0,
) {
    /** Whether the host list is unavailable. */
    var isDown: Boolean = false

    private val versions = ArrayDeque<Version>()
    private var current: Map<HostId, HostListState> = emptyMap()

    /** Sets the state of [host] to [state] as of [nowMs]; null removes the host from the list. */
    fun setHostState(
        nowMs: Long,
        host: HostId,
        state: HostListState?,
    ) {
        current = if (state == null) current - host else current + (host to state)
        versions.addLast(Version(nowMs, current))
    }

    /** Returns the entries that are visible to readers at [nowMs], sorted by host. */
    fun read(nowMs: Long): List<HostListEntry> {
        val visible = versions.lastOrNull { it.effectiveFromMs + lagMs <= nowMs }?.hosts.orEmpty()
        return visible.map { (host, state) -> HostListEntry(host, state) }.sortedBy { it.host }
    }

    private data class Version(
        val effectiveFromMs: Long,
        val hosts: Map<HostId, HostListState>,
    )
}

package io.kumquatmill.standins.platform

import io.kumquatmill.common.id.HostId
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState

/**
 * The platform's list of live and leaving hosts, which readers see [lagMs] late.
 *
 * It is not safe for use by several threads.
 */
class HostListStandin(
    var lagMs: Long = 0,
) {
    /** Whether readers get no list at all. */
    var isDown: Boolean = false

    private val versions = ArrayDeque<Version>()
    private var current: Map<HostId, HostListState> = emptyMap()

    /** Lists [host] as [state] from [nowMs] on; a host without a state is gone. */
    fun edit(
        nowMs: Long,
        host: HostId,
        state: HostListState?,
    ) {
        current = if (state == null) current - host else current + (host to state)
        versions.addLast(Version(nowMs, current))
    }

    /** Returns the list as readers see it at [nowMs]. */
    fun read(nowMs: Long): List<HostListEntry> {
        val visible = versions.lastOrNull { it.sinceMs + lagMs <= nowMs }?.hosts.orEmpty()
        return visible.map { (host, state) -> HostListEntry(host, state) }.sortedBy { it.host }
    }

    private data class Version(
        val sinceMs: Long,
        val hosts: Map<HostId, HostListState>,
    )
}

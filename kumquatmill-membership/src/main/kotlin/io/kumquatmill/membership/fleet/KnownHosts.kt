package io.kumquatmill.membership.fleet

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.record.HostRecord
import io.kumquatmill.membership.record.HostRecordState
import io.kumquatmill.membership.store.StoreWatcher

/** Derives the state of every entry host from the roster, the host records and the platform's host list. */
internal class KnownHosts(
    private val settings: MembershipSettings,
    private val watcher: StoreWatcher,
    private val hostList: HostListView,
) {
    private var cached: List<KnownHost> = emptyList()
    private var cachedUntilMs = Long.MIN_VALUE

    /** Returns all hosts sorted by name, from a cache that is at most [CACHE_MS] old. */
    fun list(
        nowMs: Long,
        members: List<Member>,
    ): List<KnownHost> {
        if (nowMs >= cachedUntilMs) {
            cached = compute(nowMs, members)
            cachedUntilMs = nowMs + CACHE_MS
        }
        return cached
    }

    private fun compute(
        nowMs: Long,
        members: List<Member>,
    ): List<KnownHost> {
        val records = watcher.view.records.mapValues { it.value.value }
        val byHost = members.associateBy { it.host } + records.mapValues { it.value.member }
        return byHost.values
            .sortedBy { it.host }
            .map { KnownHost(it, stateOf(nowMs, it.host, records[it.host])) }
    }

    private fun stateOf(
        nowMs: Long,
        host: HostId,
        record: HostRecord?,
    ): KnownHostState =
        when {
            isGone(nowMs, host, record) -> KnownHostState.GONE
            record?.state == HostRecordState.LEAVING || hostList.isLeaving(host) -> KnownHostState.LEAVING
            else -> KnownHostState.LIVE
        }

    private fun isGone(
        nowMs: Long,
        host: HostId,
        record: HostRecord?,
    ): Boolean {
        if (watcher.isUp && record != null) return false
        return hostList.isGone(nowMs, host) || (record == null && hasStoreRecovered(nowMs))
    }

    private fun hasStoreRecovered(nowMs: Long): Boolean {
        val recoveredAtMs = watcher.recoveredAtMs ?: return false
        return watcher.isUp && nowMs - recoveredAtMs >= settings.recoveryGraceMs(watcher.view.records.size)
    }

    private companion object {
        const val CACHE_MS = 200L
    }
}

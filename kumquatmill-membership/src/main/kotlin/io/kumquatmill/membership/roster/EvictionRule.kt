package io.kumquatmill.membership.roster

import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.fleet.HostListView
import io.kumquatmill.membership.store.StoreWatcher

/**
 * Decides which members without a record may be evicted.
 *
 * After an outage of the store, or a cut between this host and the witnesses, the others get time to renew their records.
 */
internal class EvictionRule(
    private val settings: MembershipSettings,
    private val watcher: StoreWatcher,
    private val holder: RosterHolder,
    private val hostList: HostListView,
) {
    private var unreachedMs: Long? = null

    /** Notes that too few witnesses can be reached at [nowMs]. */
    fun onWitnessesUnreached(nowMs: Long) {
        unreachedMs = nowMs
    }

    /** Returns whether [host] has been without a record for so long that its lease has lapsed. */
    fun isLapsed(
        nowMs: Long,
        host: HostId,
    ): Boolean {
        val absentSinceMs = watcher.view.recordAbsentSinceMs(host) ?: watcher.returnedMs ?: return false
        return nowMs - absentSinceMs >= settings.evictionDelayMs
    }

    /** Returns whether [host] may be evicted. */
    fun isEvictable(
        nowMs: Long,
        host: HostId,
    ): Boolean {
        val returnedMs = watcher.returnedMs ?: return false
        val graceFromMs = maxOf(returnedMs, unreachedMs ?: returnedMs)
        val isGraceOver = nowMs - graceFromMs >= settings.returnGraceMs(holder.members.size)
        return isLapsed(nowMs, host) && (isGraceOver || hostList.isGone(nowMs, host))
    }
}

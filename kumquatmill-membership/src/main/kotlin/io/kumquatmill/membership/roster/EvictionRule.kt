package io.kumquatmill.membership.roster

import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.fleet.HostListView
import io.kumquatmill.membership.store.StoreWatcher

/**
 * Decides which members without a record may be evicted.
 *
 * After an outage of the store, or a cut between this host and the witnesses, the others get time to renew their records.
 * A host that answers its peers is not evicted.
 */
internal class EvictionRule(
    private val settings: MembershipSettings,
    private val watcher: StoreWatcher,
    private val holder: RosterHolder,
    private val hostList: HostListView,
) {
    private val heardMs = HashMap<HostId, Long>()
    private var unreachedMs: Long? = null

    /** Notes that [host] has sent a message. */
    fun onHeard(
        nowMs: Long,
        host: HostId,
    ) {
        heardMs[host] = nowMs
    }

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
        if (!isLapsed(nowMs, host)) return false
        return hostList.isGone(nowMs, host) || (isGraceOver && !isAlive(nowMs, host))
    }

    /** A host that answers its peers has only lost the store: it keeps its standing by the witnesses. */
    private fun isAlive(
        nowMs: Long,
        host: HostId,
    ): Boolean = heardMs[host]?.let { nowMs - it < settings.aliveMs } ?: false
}

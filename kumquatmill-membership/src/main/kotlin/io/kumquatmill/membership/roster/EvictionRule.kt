package io.kumquatmill.membership.roster

import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.fleet.HostListView
import io.kumquatmill.membership.store.StoreWatcher

/**
 * Decides which members without a record may be evicted.
 *
 * After a store outage or a partition between this host and the witnesses, the other hosts get a grace period in which to
 * renew their records. A host that still sends messages is not evicted, unless the platform's host list shows it gone.
 */
internal class EvictionRule(
    private val settings: MembershipSettings,
    private val watcher: StoreWatcher,
    private val currentRoster: CurrentRoster,
    private val hostList: HostListView,
) {
    private val lastMessageAtMs = HashMap<HostId, Long>()
    private var witnessesUnreachableAtMs: Long? = null

    /** Records that [host] has sent a message. */
    fun onMessageReceived(
        nowMs: Long,
        host: HostId,
    ) {
        lastMessageAtMs[host] = nowMs
    }

    /** Records that no majority of the witnesses is reachable at [nowMs]. */
    fun onWitnessesUnreachable(nowMs: Long) {
        witnessesUnreachableAtMs = nowMs
    }

    /** Returns whether [host] has had no record for `evictionDelayMs`, so that its lease must have expired. */
    fun hasLeaseExpired(
        nowMs: Long,
        host: HostId,
    ): Boolean {
        val absentSinceMs = watcher.view.recordAbsentSinceMs(host) ?: watcher.recoveredAtMs ?: return false
        return nowMs - absentSinceMs >= settings.evictionDelayMs
    }

    /** Returns whether [host] may be evicted. */
    fun isEvictable(
        nowMs: Long,
        host: HostId,
    ): Boolean {
        val recoveredAtMs = watcher.recoveredAtMs ?: return false
        val graceStartMs = maxOf(recoveredAtMs, witnessesUnreachableAtMs ?: recoveredAtMs)
        val isGraceOver = nowMs - graceStartMs >= settings.recoveryGraceMs(currentRoster.members.size)
        if (!hasLeaseExpired(nowMs, host)) return false
        return hostList.isGone(nowMs, host) || (isGraceOver && !isAlive(nowMs, host))
    }

    /** Returns whether [host] is alive: one that sends messages has only lost the store and keeps its standing through the witnesses. */
    private fun isAlive(
        nowMs: Long,
        host: HostId,
    ): Boolean = lastMessageAtMs[host]?.let { nowMs - it < settings.peerAliveTimeoutMs } ?: false
}

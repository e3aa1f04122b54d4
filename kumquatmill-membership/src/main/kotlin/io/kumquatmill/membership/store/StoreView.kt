package io.kumquatmill.membership.store

import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.record.HostRecord
import io.kumquatmill.membership.record.MembershipKeys
import io.kumquatmill.membership.record.RosterDocument
import io.kumquatmill.membership.record.decodeHostRecord
import io.kumquatmill.membership.record.decodeRoster
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreKeys

/** A decoded store entry with the revision of its last write. */
internal data class DecodedEntry<out T>(
    val value: T,
    val revision: Long,
)

/** Local copy of the store's membership data as of [revision]. */
internal class StoreView {
    private val recordsByHost = mutableMapOf<HostId, DecodedEntry<HostRecord>>()
    private val recordAbsentSince = mutableMapOf<HostId, Long>()

    var revision: Long = StoreCall.NO_REVISION
        private set

    /** Revision of the entry `roster`, even if it cannot be decoded, or [StoreCall.NO_REVISION] if there is none. */
    var rosterRevision: Long = StoreCall.NO_REVISION
        private set

    /** The roster, or null if the store has none or it cannot be decoded. */
    var roster: DecodedEntry<RosterDocument>? = null
        private set

    /** Host records that could be decoded. */
    val records: Map<HostId, DecodedEntry<HostRecord>>
        get() = recordsByHost

    /** Names of the hosts, workers and upstreams that operators have requested to drain. */
    var drainRequests: Set<String> = emptySet()
        private set

    /** Returns the time since which [host] has had no record, or null if it has one or no removal has been seen. */
    fun recordAbsentSinceMs(host: HostId): Long? = recordAbsentSince[host]

    /** Replaces the content by a full read, [entries] as of [atRevision]; returns what is new as changes. */
    fun replace(
        nowMs: Long,
        entries: List<StoreEntry>,
        atRevision: Long,
    ): List<StoreChange> {
        if (atRevision < revision) return emptyList()
        val keys = entries.mapTo(mutableSetOf()) { it.key }
        val removedKeys = knownKeys().filterNot { it in keys }
        val changes =
            removedKeys.map { StoreChange(it, null, atRevision) } +
                entries.filter { it.revision > revision }.map { StoreChange(it.key, it.value, it.revision) }
        return apply(nowMs, changes, atRevision)
    }

    private fun knownKeys(): List<String> =
        recordsByHost.keys.map(MembershipKeys::host) +
            drainRequests.map { StoreKeys.DRAIN_PREFIX + it } +
            listOf(MembershipKeys.ROSTER).filter { rosterRevision != StoreCall.NO_REVISION }

    /** Applies the [changes] that are new and returns them. */
    fun apply(
        nowMs: Long,
        changes: List<StoreChange>,
        upToRevision: Long,
    ): List<StoreChange> {
        val newChanges = changes.filter { it.revision > revision }
        newChanges.forEach { applyChange(nowMs, it) }
        revision = maxOf(revision, upToRevision)
        return newChanges
    }

    private fun applyChange(
        nowMs: Long,
        change: StoreChange,
    ) {
        when {
            change.key == MembershipKeys.ROSTER -> applyRoster(change)
            change.key.startsWith(MembershipKeys.HOST_PREFIX) -> applyRecord(nowMs, change)
            change.key.startsWith(StoreKeys.DRAIN_PREFIX) -> applyDrain(change)
        }
    }

    private fun applyDrain(change: StoreChange) {
        val name = change.key.removePrefix(StoreKeys.DRAIN_PREFIX)
        drainRequests = if (change.value == null) drainRequests - name else drainRequests + name
    }

    private fun applyRoster(change: StoreChange) {
        rosterRevision = if (change.value == null) StoreCall.NO_REVISION else change.revision
        roster = change.value?.let(::decodeRoster)?.let { DecodedEntry(it, change.revision) }
    }

    private fun applyRecord(
        nowMs: Long,
        change: StoreChange,
    ) {
        val host = HostId(change.key.removePrefix(MembershipKeys.HOST_PREFIX))
        val record = change.value?.let(::decodeHostRecord)
        if (record == null) {
            recordsByHost.remove(host)
            recordAbsentSince[host] = nowMs
        } else {
            recordsByHost[host] = DecodedEntry(record, change.revision)
            recordAbsentSince.remove(host)
        }
    }
}

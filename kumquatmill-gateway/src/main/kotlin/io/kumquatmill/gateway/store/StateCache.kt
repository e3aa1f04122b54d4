package io.kumquatmill.gateway.store

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.WorkerEntry
import kotlinx.serialization.json.Json

/**
 * The store entries that this host knows, from the store and from peers; for each key the highest revision wins.
 *
 * When a worker's entry disappears during or shortly after a store outage, its lease may have expired although the worker is alive.
 * The worker is kept for a grace period after the store recovers, in which a live worker writes its entry again.
 */
class StateCache(
    private val keys: StateKeys,
    private val decoder: StateDecoder,
) {
    private class Decoded<T>(
        val revision: Long,
        val value: T?,
    )

    private val entries = HashMap<String, StoreEntry>()
    private val deletionRevisions = HashMap<String, Long>()
    private val snapshotRevisions = HashMap<String, Long>()
    private val graceEndsAtMs = HashMap<String, Long>()
    private val workers = HashMap<String, Decoded<WorkerEntry>>()
    private var desired: Decoded<DesiredState>? = null
    private var lastOutageEndMs: Long? = null
    private var isStoreUnavailable = false

    /** Highest store revision that was applied. */
    var revision: Long = 0
        private set

    /** Applies a [snapshot] of all entries under [prefix] as of [snapshotRevision]. */
    fun onSnapshot(
        nowMs: Long,
        prefix: String,
        snapshot: Collection<StoreEntry>,
        snapshotRevision: Long,
    ) {
        val snapshotKeys = snapshot.mapTo(HashSet()) { it.key }
        entries.values
            .filter { it.key.startsWith(prefix) && it.key !in snapshotKeys && it.revision <= snapshotRevision }
            .forEach { remove(nowMs, it.key, snapshotRevision) }
        // An entry that the latest snapshot so far lacked had been deleted by then, even if this host never saw the deletion.
        val previousSnapshotRevision = snapshotRevisions[prefix] ?: 0
        snapshot.filter { it.key in entries || it.revision > previousSnapshotRevision }.forEach { put(it) }
        snapshotRevisions[prefix] = maxOf(previousSnapshotRevision, snapshotRevision)
        revision = maxOf(revision, snapshotRevision)
    }

    /** Applies [changes] of the store in order. */
    fun onChanges(
        nowMs: Long,
        changes: Collection<StoreChange>,
    ) = changes.forEach { change ->
        val value = change.value
        if (value != null) put(StoreEntry(change.key, value, change.revision)) else remove(nowMs, change.key, change.revision)
        revision = maxOf(revision, change.revision)
    }

    /** Records that the store is unavailable. */
    fun onOutage() {
        isStoreUnavailable = true
    }

    /** Records that the store is available again; no effect unless it was unavailable. */
    fun onOutageEnd(nowMs: Long) {
        if (!isStoreUnavailable) return
        isStoreUnavailable = false
        lastOutageEndMs = nowMs
    }

    /** Removes the workers whose grace period ended before they wrote their entry again; returns whether there were any. */
    fun expireGracePeriods(nowMs: Long): Boolean {
        if (isStoreUnavailable) return false
        return graceEndsAtMs.values.removeIf { nowMs >= it }
    }

    /** Returns all entries, to be sent to a peer. */
    fun allEntries(): List<StoreEntry> = entries.values.toList()

    /** Returns the host records that can be decoded. */
    fun hosts(): List<EntryHostInfo> =
        entries.values.filter { it.key.startsWith(keys.hostPrefix) }.mapNotNull { entry ->
            try {
                json.decodeFromString<EntryHostInfo>(entry.value)
            } catch (_: IllegalArgumentException) {
                null // written by another version; that host is discovered from its reports
            }
        }

    /** Returns the state that the entries describe. */
    fun state(): SteeringState =
        SteeringState(
            desired = desired?.value,
            workers = (workers.filterKeys { it in entries || it in graceEndsAtMs }).values.mapNotNull { it.value }.associateBy { it.id },
            evacuatedZones =
                entries.keys
                    .filter { it.startsWith(keys.evacuationPrefix) }
                    .mapTo(HashSet()) { AvailabilityZoneId(it.removePrefix(keys.evacuationPrefix)) },
        )

    private fun put(entry: StoreEntry) {
        val knownRevision = maxOf(entries[entry.key]?.revision ?: 0, deletionRevisions[entry.key] ?: 0)
        if (entry.revision <= knownRevision) return
        entries[entry.key] = entry
        deletionRevisions.remove(entry.key)
        graceEndsAtMs.remove(entry.key)
        if (entry.key == keys.desiredKey) desired = decodeDesiredState(desired, entry)
        if (entry.key.startsWith(keys.workerPrefix)) workers[entry.key] = Decoded(entry.revision, decoder.worker(entry))
    }

    /** Returns [previous] if [entry] cannot be decoded: an unreadable desired state never replaces a readable one. */
    private fun decodeDesiredState(
        previous: Decoded<DesiredState>?,
        entry: StoreEntry,
    ): Decoded<DesiredState>? = decoder.desiredState(entry)?.let { Decoded(entry.revision, it) } ?: previous

    private fun remove(
        nowMs: Long,
        key: String,
        deletionRevision: Long,
    ) {
        val known = entries[key]
        if (known == null || known.revision > deletionRevision) return
        entries.remove(key)
        deletionRevisions[key] = deletionRevision
        if (!key.startsWith(keys.workerPrefix)) return
        val outageEndMs = lastOutageEndMs
        val mayHaveExpired = isStoreUnavailable || (outageEndMs != null && nowMs - outageEndMs < REREGISTRATION_GRACE_MS)
        val isDraining = workers[key]?.value?.isDraining ?: true
        if (mayHaveExpired && !isDraining) {
            graceEndsAtMs[key] = maxOf(outageEndMs ?: nowMs, nowMs - REREGISTRATION_GRACE_MS) + REREGISTRATION_GRACE_MS
        } else {
            workers.remove(key)
        }
    }

    private companion object {
        /** Live workers write their entries again within two seconds after the store recovers. */
        const val REREGISTRATION_GRACE_MS = 2_000L
        val json = Json { ignoreUnknownKeys = true }
    }
}

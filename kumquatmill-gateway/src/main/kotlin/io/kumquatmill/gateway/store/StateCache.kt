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
 * A store that came back from an older copy lacks what was written last until operators and workers write it again, and has what was
 * deleted. The desired state never goes back to an older version, and a worker's entry never to an older statement of the same process.
 * The entry of a worker that has left is held back for a while: it applies if the store still has it then. The mark of an evacuated zone
 * that is missing is kept for as long.
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
        val value: T,
    )

    private class Held(
        val entry: StoreEntry,
        val untilMs: Long,
    )

    private class DepartedWorker(
        val worker: WorkerEntry,
        val atMs: Long,
    )

    private val entries = HashMap<String, StoreEntry>()
    private val held = HashMap<String, Held>()
    private val departedWorkers = HashMap<String, DepartedWorker>()
    private val deletionRevisions = HashMap<String, Long>()
    private val snapshotRevisions = HashMap<String, Long>()
    private val graceEndsAtMs = HashMap<String, Long>()
    private val workers = HashMap<String, Decoded<WorkerEntry?>>()
    private val hostRecords = HashMap<String, EntryHostInfo>()
    private var desired: Decoded<DesiredState>? = null
    private var lastOutageEndMs: Long? = null
    private var isStoreUnavailable = false
    private var askedAtMs: Long? = null
    private var confirmedAtMs: Long? = null

    /** Highest store revision that was applied. */
    var revision: Long = 0
        private set

    /** Whether something is held back or kept that the store has to confirm. */
    val isSettling: Boolean
        get() = held.isNotEmpty() || graceEndsAtMs.isNotEmpty()

    /** Applies a [snapshot] of all entries under [prefix] as of [snapshotRevision]. */
    fun onSnapshot(
        nowMs: Long,
        prefix: String,
        snapshot: Collection<StoreEntry>,
        snapshotRevision: Long,
    ) {
        if (isFromLaterEra(snapshotRevision)) onRestored(nowMs)
        val snapshotKeys = snapshot.mapTo(HashSet()) { it.key }
        held.values.removeIf { it.entry.key.startsWith(prefix) && it.entry.key !in snapshotKeys && it.entry.revision <= snapshotRevision }
        entries.values
            .filter { it.key.startsWith(prefix) && it.key !in snapshotKeys && it.revision <= snapshotRevision }
            .forEach { remove(nowMs, it.key, snapshotRevision) }
        // An entry that the latest snapshot so far lacked had been deleted by then, even if this host never saw the deletion.
        val previousSnapshotRevision = snapshotRevisions[prefix] ?: 0
        snapshot.filter { it.key in entries || it.revision > previousSnapshotRevision }.forEach { entry ->
            if (isFromOlderCopy(entry)) keepKnown(nowMs, entry) else put(entry)
        }
        snapshotRevisions[prefix] = maxOf(previousSnapshotRevision, snapshotRevision)
        revision = maxOf(revision, snapshotRevision)
    }

    /**
     * Applies the desired state among the [entries] of a peer if its version is newer than the known one, whatever its revision is, and
     * returns whether it is.
     */
    fun onPeerDesiredState(entries: Collection<StoreEntry>): Boolean {
        val entry = entries.find { it.key == keys.desiredKey } ?: return false
        val decoded = decoder.desiredState(entry) ?: return false
        val known = desired
        if (known != null && decoded.version <= known.value.version) return false
        val revision = maxOf(entry.revision, known?.revision ?: 0)
        this.entries[entry.key] = entry.copy(revision = revision)
        desired = Decoded(revision, decoded)
        return true
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

    /** Records that the store was called. */
    fun onStoreAsked(nowMs: Long) {
        askedAtMs = nowMs
    }

    /** Records that the store has answered the latest call, and that its changes were applied. The answer may have been read late. */
    fun onStoreAnswered() {
        confirmedAtMs = askedAtMs
    }

    /** Applies what was held back or kept for long enough without being written again; returns whether there was anything. */
    fun expireGracePeriods(nowMs: Long): Boolean {
        if (isStoreUnavailable) return false
        departedWorkers.values.removeIf { nowMs - it.atMs > MAX_COPY_AGE_MS }
        val due = held.values.filter { isConfirmedSince(it.untilMs) }.map { it.entry }
        due.forEach { put(it) }
        val expired =
            graceEndsAtMs
                .filter { (key, endMs) ->
                    if (key.startsWith(keys.workerPrefix)) nowMs >= endMs else isConfirmedSince(endMs)
                }.keys
        expired.forEach { key ->
            graceEndsAtMs.remove(key)
            depart(nowMs, key)
        }
        return expired.isNotEmpty() || due.isNotEmpty()
    }

    /** Returns whether the store has answered a call since [timeMs]; otherwise this host may have missed what was written again. */
    private fun isConfirmedSince(timeMs: Long): Boolean = (confirmedAtMs ?: return false) >= timeMs

    /** Returns all entries, to be sent to a peer. */
    fun allEntries(): List<StoreEntry> = entries.values.toList()

    /** Returns the host records that can be decoded. */
    fun hosts(): List<EntryHostInfo> = hostRecords.values.toList()

    /** Returns the state that the entries describe. */
    fun state(): SteeringState =
        SteeringState(
            desired = desired?.value,
            workers = (workers.filterKeys { it in entries || it in graceEndsAtMs }).values.mapNotNull { it.value }.associateBy { it.id },
            evacuatedZones =
                (entries.keys + graceEndsAtMs.keys)
                    .filter { it.startsWith(keys.evacuationPrefix) }
                    .mapTo(HashSet()) { AvailabilityZoneId(it.removePrefix(keys.evacuationPrefix)) },
        )

    private fun put(entry: StoreEntry) {
        val knownRevision = maxOf(entries[entry.key]?.revision ?: 0, deletionRevisions[entry.key] ?: 0)
        if (entry.revision <= knownRevision) return
        deletionRevisions.remove(entry.key)
        graceEndsAtMs.remove(entry.key)
        held.remove(entry.key)
        departedWorkers.remove(entry.key)
        if (entry.key == keys.desiredKey) return putDesiredState(entry)
        entries[entry.key] = entry
        if (entry.key.startsWith(keys.workerPrefix)) workers[entry.key] = Decoded(entry.revision, decoder.worker(entry))
        if (entry.key.startsWith(keys.hostPrefix)) putHostRecord(entry)
    }

    private fun putHostRecord(entry: StoreEntry) {
        try {
            hostRecords[entry.key] = json.decodeFromString<EntryHostInfo>(entry.value)
        } catch (_: IllegalArgumentException) {
            hostRecords.remove(entry.key) // written by another version; that host is discovered from its reports
        }
    }

    /** Applies a desired state. One that is unreadable or older never replaces a readable one, also not for peers that ask for it. */
    private fun putDesiredState(entry: StoreEntry) {
        val known = desired?.value
        val decoded = decoder.desiredState(entry)
        val isTaken = known == null || (decoded != null && decoded.version >= known.version)
        val kept = entries[entry.key]
        entries[entry.key] = if (isTaken || kept == null) entry else kept.copy(revision = entry.revision)
        if (isTaken && decoded != null) desired = Decoded(entry.revision, decoded)
    }

    /** Records that the store came back from a copy: it was away before, even if no call of this host failed. */
    private fun onRestored(nowMs: Long) {
        lastOutageEndMs = nowMs
        graceEndsAtMs.replaceAll { key, endMs ->
            val graceMs = if (key.startsWith(keys.workerPrefix)) REREGISTRATION_GRACE_MS else REWRITE_GRACE_MS
            maxOf(endMs, nowMs + graceMs)
        }
    }

    private fun isFromLaterEra(snapshotRevision: Long): Boolean = revision > 0 && eraOf(snapshotRevision) > eraOf(revision)

    /** Returns whether [entry] of a snapshot may have been written before what is known of its key, as the store lost later writes. */
    private fun isFromOlderCopy(entry: StoreEntry): Boolean {
        val knownRevision = entries[entry.key]?.revision ?: deletionRevisions[entry.key] ?: return false
        val isFromLaterEra = eraOf(entry.revision) > eraOf(knownRevision)
        return isFromLaterEra && entry.key.startsWith(keys.workerPrefix) && isOlderStatement(entry)
    }

    /** Returns whether [entry] says what its worker said before the latest known statement, or no more than a worker said that has left. */
    private fun isOlderStatement(entry: StoreEntry): Boolean {
        val departed = departedWorkers[entry.key]?.worker
        val known = workers[entry.key]?.value ?: departed ?: return false
        val stated = decoder.worker(entry) ?: return false
        return when {
            stated.startedAtMs != known.startedAtMs -> stated.startedAtMs < known.startedAtMs
            departed != null -> stated.sequence <= departed.sequence
            else -> stated.sequence < known.sequence
        }
    }

    /** Keeps what is known of the key of [entry] until it is written again. A key that was deleted is held back for a while only. */
    private fun keepKnown(
        nowMs: Long,
        entry: StoreEntry,
    ) {
        val known = entries[entry.key]
        if (known != null) {
            entries[entry.key] = known.copy(revision = entry.revision)
        } else if (held[entry.key]?.entry?.revision != entry.revision) {
            held[entry.key] = Held(entry, nowMs + REWRITE_GRACE_MS)
        }
    }

    private fun remove(
        nowMs: Long,
        key: String,
        deletionRevision: Long,
    ) {
        val known = entries[key]
        if (known == null || known.revision > deletionRevision) return removeHeld(key, deletionRevision)
        val isLost = eraOf(deletionRevision) > eraOf(known.revision)
        if (isLost && key == keys.desiredKey) return
        entries.remove(key)
        hostRecords.remove(key)
        held.remove(key)
        deletionRevisions[key] = deletionRevision
        if (isLost && key.startsWith(keys.evacuationPrefix)) graceEndsAtMs[key] = nowMs + REWRITE_GRACE_MS
        if (key.startsWith(keys.workerPrefix)) removeWorker(nowMs, key)
    }

    private fun removeHeld(
        key: String,
        deletionRevision: Long,
    ) {
        if ((held[key]?.entry?.revision ?: Long.MAX_VALUE) <= deletionRevision) held.remove(key)
        deletionRevisions.computeIfPresent(key) { _, earlier -> maxOf(earlier, deletionRevision) }
    }

    private fun removeWorker(
        nowMs: Long,
        key: String,
    ) {
        val outageEndMs = lastOutageEndMs
        val mayHaveExpired = isStoreUnavailable || (outageEndMs != null && nowMs - outageEndMs < REREGISTRATION_GRACE_MS)
        val isDraining = workers[key]?.value?.isDraining ?: true
        if (mayHaveExpired && !isDraining) {
            graceEndsAtMs[key] = maxOf(outageEndMs ?: nowMs, nowMs - REREGISTRATION_GRACE_MS) + REREGISTRATION_GRACE_MS
        } else {
            depart(nowMs, key)
        }
    }

    private fun depart(
        nowMs: Long,
        key: String,
    ) {
        workers.remove(key)?.value?.let { departedWorkers[key] = DepartedWorker(it, nowMs) }
    }

    private companion object {
        /** Live workers write their entries again within two seconds after the store recovers. */
        const val REREGISTRATION_GRACE_MS = 2_000L

        /** Time in which what a store lost is written again; entries of dead workers expire within it. */
        const val REWRITE_GRACE_MS = 4_500L

        /** A copy from which a store comes back is some seconds old. */
        const val MAX_COPY_AGE_MS = 60_000L
        val json = Json { ignoreUnknownKeys = true }
    }
}

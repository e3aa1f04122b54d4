package io.kumquatmill.gateway.store

import arrow.core.Either
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.math.min
import kotlin.random.Random

/** Sends a store call and passes its reply or error to the callback. */
typealias SendStoreCall = (StoreCall, (Either<StoreError, StoreReply>) -> Unit) -> Unit

/** Runs a task after a delay in milliseconds. */
typealias RunAfter = (delayMs: Long, task: () -> Unit) -> Unit

/**
 * Watches all entries under [prefix]: reads a snapshot and then watches for changes.
 *
 * When the store has compacted its history or came back from an older copy, a new snapshot is read. Failed calls are retried with
 * exponential backoff and jitter, so that not all hosts call a recovering service at the same time.
 *
 * @param batchDelayMs returns the time in milliseconds for which changes are collected before the next watch: they come in bursts, and
 * each call is charged for
 * @param schedule decides how long a watch waits
 * @param isConnected returns whether the next call goes over a connection on which the store has answered before
 * @param isSettling returns whether the listener waits for the store to confirm what it may have lost
 */
class PrefixWatcher(
    private val prefix: String,
    private val send: SendStoreCall,
    private val runAfter: RunAfter,
    private val listener: StoreListener,
    private val random: Random,
    private val batchDelayMs: () -> Long,
    private val schedule: StoreCallSchedule,
    private val isConnected: () -> Boolean = { true },
    private val isSettling: () -> Boolean = { false },
) {
    private var revision: Long? = null
    private var failures = 0

    /** Reads the snapshot and starts to watch. */
    fun start() = readSnapshot()

    private fun readSnapshot() {
        readPage(null, emptyList(), null)
    }

    private fun readPage(
        afterKey: String?,
        previousEntries: List<StoreEntry>,
        firstRevision: Long?,
    ) {
        sendGuarded(StoreCall.ReadPrefix(prefix, afterKey)) { result ->
            result.fold({ onFailed(it) { readPage(afterKey, previousEntries, firstRevision) } }) { reply ->
                val page = reply as StoreReply.Entries
                val entries = previousEntries + page.entries
                val snapshotRevision = firstRevision ?: page.revision
                if (eraOf(page.revision) != eraOf(snapshotRevision)) {
                    readSnapshot()
                } else if (page.hasMore && page.entries.isNotEmpty()) {
                    readPage(page.entries.last().key, entries, snapshotRevision)
                } else {
                    onSnapshotRead(entries, snapshotRevision)
                }
            }
        }
    }

    private fun onSnapshotRead(
        entries: List<StoreEntry>,
        snapshotRevision: Long,
    ) {
        val needsWatch = revision == null
        onSucceeded()
        revision = snapshotRevision
        listener.onSnapshot(prefix, entries, snapshotRevision)
        listener.onAnswered()
        if (needsWatch) watch()
    }

    private fun watch() {
        val afterRevision = revision ?: return readSnapshot()
        sendGuarded(StoreCall.Watch(prefix, afterRevision, watchWaitMs())) { result ->
            result.fold({ error ->
                if (error is StoreError.HistoryGone) {
                    revision = null
                    readSnapshot()
                } else {
                    onFailed(error) { watch() }
                }
            }) { reply ->
                val changes = reply as StoreReply.Changes
                onSucceeded()
                if (eraOf(changes.revision) != eraOf(afterRevision)) {
                    // The store has given out the watched revision again, so that changes before it may be missing.
                    revision = null
                    return@fold readSnapshot()
                }
                revision = maxOf(revision ?: 0, changes.revision)
                if (changes.changes.isNotEmpty()) listener.onChanges(changes.changes)
                listener.onAnswered()
                if (changes.changes.isNotEmpty()) {
                    runAfter(batchDelayMs()) { watch() }
                } else {
                    watch()
                }
            }
        }
    }

    private fun watchWaitMs(): Long = schedule.watchWaitMs(failures, isConnected(), isSettling(), batchDelayMs())

    /** Sends [call]. If handling the result fails unexpectedly, a new snapshot is read later: the watch must not end silently. */
    @Suppress("TooGenericExceptionCaught")
    private fun sendGuarded(
        call: StoreCall,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        listener.onAsked()
        send(call) { result ->
            try {
                onResult(result)
            } catch (e: RuntimeException) {
                revision = null
                onFailed(StoreError.Unknown("handling the reply failed: $e")) { readSnapshot() }
            }
        }
    }

    private fun onFailed(
        error: StoreError,
        retry: () -> Unit,
    ) {
        failures++
        listener.onFailure(prefix, error, failures)
        val backoffMs = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS shl min(failures - 1, MAX_BACKOFF_DOUBLINGS))
        runAfter(backoffMs / 2 + random.nextLong(backoffMs / 2 + 1), retry)
    }

    private fun onSucceeded() {
        if (failures > 0) listener.onRecovery(prefix, failures)
        failures = 0
    }

    private companion object {
        const val INITIAL_BACKOFF_MS = 100L
        const val MAX_BACKOFF_MS = 800L
        const val MAX_BACKOFF_DOUBLINGS = 4
    }
}

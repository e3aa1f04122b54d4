package io.kumquatmill.gateway.store

import arrow.core.Either
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.math.min
import kotlin.random.Random

/** Sends a store call and tells its end. */
typealias SendStoreCall = (StoreCall, (Either<StoreError, StoreReply>) -> Unit) -> Unit

/** Runs a task after a delay in milliseconds. */
typealias RunAfter = (delayMs: Long, task: () -> Unit) -> Unit

/**
 * Follows all entries under [prefix]: reads them once and then watches for changes.
 *
 * When the history of changes is gone it reads again; when the service fails it tries again after a pause that grows and has
 * jitter, so that a service that returns does not meet all hosts at once.
 */
class PrefixWatcher(
    private val prefix: String,
    private val send: SendStoreCall,
    private val runAfter: RunAfter,
    private val listener: StoreListener,
    private val random: Random,
    private val watchMs: Long = WATCH_MS,
) {
    private var revision: Long? = null
    private var failures = 0

    /** Starts to follow. */
    fun start() = readAll()

    private fun readAll() {
        readPage(null, emptyList(), null)
    }

    private fun readPage(
        afterKey: String?,
        before: List<StoreEntry>,
        firstRevision: Long?,
    ) {
        send(StoreCall.ReadPrefix(prefix, afterKey)) { result ->
            result.fold({ failed(it) { readPage(afterKey, before, firstRevision) } }) { reply ->
                val page = reply as StoreReply.Entries
                val entries = before + page.entries
                val snapshotRevision = firstRevision ?: page.revision
                if (page.hasMore && page.entries.isNotEmpty()) {
                    readPage(page.entries.last().key, entries, snapshotRevision)
                } else {
                    readDone(entries, snapshotRevision)
                }
            }
        }
    }

    private fun readDone(
        entries: List<StoreEntry>,
        snapshotRevision: Long,
    ) {
        val isFirstOrLost = revision == null
        succeeded()
        revision = snapshotRevision
        listener.onSnapshot(prefix, entries, snapshotRevision)
        if (isFirstOrLost) watch()
    }

    private fun watch() {
        val after = revision ?: return readAll()
        // What is sent into an outage may be lost for good, so a long wait would outlast it.
        val waitMs = if (failures > 0) min(watchMs, PROBE_MS) else watchMs
        send(StoreCall.Watch(prefix, after, waitMs)) { result ->
            result.fold({ error ->
                if (error is StoreError.HistoryGone) {
                    revision = null
                    readAll()
                } else {
                    failed(error) { watch() }
                }
            }) { reply ->
                val changes = reply as StoreReply.Changes
                succeeded()
                revision = maxOf(revision ?: 0, changes.revision)
                if (changes.changes.isNotEmpty()) {
                    listener.onChanges(changes.changes)
                    runAfter(GATHER_MS) { watch() }
                } else {
                    watch()
                }
            }
        }
    }

    private fun failed(
        error: StoreError,
        again: () -> Unit,
    ) {
        failures++
        listener.onFailure(prefix, error, failures)
        val pauseMs = min(MAX_PAUSE_MS, FIRST_PAUSE_MS shl min(failures - 1, MAX_DOUBLINGS))
        runAfter(pauseMs / 2 + random.nextLong(pauseMs / 2 + 1), again)
    }

    private fun succeeded() {
        if (failures > 0) listener.onRecovery(prefix, failures)
        failures = 0
    }

    private companion object {
        /** A connection that has gone silent is noticed after this time; each watch is a call that is charged. */
        const val WATCH_MS = 4_000L

        /** Wait of a watch while the service is thought to be away. */
        const val PROBE_MS = 200L

        /** Changes come in groups, and each call is charged: one takes those of this time together, a tenth of what operators allow. */
        const val GATHER_MS = 300L
        const val FIRST_PAUSE_MS = 100L
        const val MAX_PAUSE_MS = 800L
        const val MAX_DOUBLINGS = 4
    }
}

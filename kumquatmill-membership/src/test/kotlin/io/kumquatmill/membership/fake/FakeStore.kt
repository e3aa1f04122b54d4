package io.kumquatmill.membership.fake

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.store.LeaseId
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** Result of a call at a [FakeStore]. */
internal typealias StoreResult = Either<StoreError, StoreReply>

/** Key-value service in virtual time, with revisions, compare-and-swap, leases and waiting watches. */
internal class FakeStore {
    private val entries = sortedMapOf<String, StoreEntry>()
    private val entryLeases = mutableMapOf<String, LeaseId>()
    private val history = mutableListOf<StoreChange>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private val watches = mutableListOf<OpenWatch>()
    private var nextLease = 1L
    var revision = 1L
        private set

    fun entry(key: String): StoreEntry? = entries[key]

    /** Executes [call]; [answer] is called now or, for a watch, when it ends. */
    fun execute(
        nowMs: Long,
        call: StoreCall,
        answer: (StoreResult) -> Unit,
    ) {
        expireLeases(nowMs)
        when (call) {
            is StoreCall.Watch -> watch(nowMs, call, answer)
            else -> answer(executeNow(nowMs, call))
        }
        answerWatches(nowMs)
    }

    /** Ends watches and leases whose time is over. */
    fun onTick(nowMs: Long) {
        expireLeases(nowMs)
        answerWatches(nowMs)
    }

    /** Drops all waiting watches without an answer. */
    fun dropWatches() = watches.clear()

    private fun executeNow(
        nowMs: Long,
        call: StoreCall,
    ): StoreResult =
        when (call) {
            is StoreCall.Read -> StoreReply.Entry(entries[call.key], revision).right()
            is StoreCall.ReadPrefix ->
                StoreReply.Entries(entries.values.filter { it.key.startsWith(call.prefix) }, revision).right()
            is StoreCall.CompareAndSwap -> swap(call)
            is StoreCall.Delete -> delete(call)
            is StoreCall.GrantLease -> grant(nowMs, call)
            is StoreCall.RenewLease -> renew(nowMs, call)
            is StoreCall.Watch -> error("not reached")
        }

    private fun swap(call: StoreCall.CompareAndSwap): StoreResult {
        val current = entries[call.key]
        val lease = call.lease
        if ((current?.revision ?: StoreCall.NO_REVISION) != call.expectedRevision) return StoreError.Conflict(current).left()
        if (lease != null && lease !in leases) return StoreError.LeaseGone(lease).left()
        put(call.key, call.value)
        if (lease == null) entryLeases.remove(call.key) else entryLeases[call.key] = lease
        return StoreReply.Written(revision).right()
    }

    private fun delete(call: StoreCall.Delete): StoreResult {
        val current = entries[call.key]
        if (current == null || current.revision != call.expectedRevision) return StoreError.Conflict(current).left()
        remove(call.key)
        return StoreReply.Written(revision).right()
    }

    private fun grant(
        nowMs: Long,
        call: StoreCall.GrantLease,
    ): StoreResult {
        val id = LeaseId(nextLease++)
        leases[id] = Lease(call.ttlMs, nowMs + call.ttlMs)
        return StoreReply.LeaseGranted(id).right()
    }

    private fun renew(
        nowMs: Long,
        call: StoreCall.RenewLease,
    ): StoreResult {
        val lease = leases[call.lease] ?: return StoreError.LeaseGone(call.lease).left()
        leases[call.lease] = lease.copy(untilMs = nowMs + lease.ttlMs)
        return StoreReply.LeaseRenewed.right()
    }

    private fun watch(
        nowMs: Long,
        call: StoreCall.Watch,
        answer: (StoreResult) -> Unit,
    ) {
        watches += OpenWatch(call, nowMs + call.waitMs, answer)
    }

    private fun answerWatches(nowMs: Long) {
        val ended = watches.filter { nowMs >= it.untilMs || it.call.afterRevision < revision }
        watches.removeAll(ended.toSet())
        ended.forEach { it.answer(StoreReply.Changes(changesFor(it.call), revision).right()) }
    }

    private fun changesFor(call: StoreCall.Watch): List<StoreChange> {
        val first = history.binarySearchBy(call.afterRevision + 1) { it.revision }.let { if (it < 0) -it - 1 else it }
        return history.subList(first, history.size).filter { it.key.startsWith(call.prefix) }
    }

    private fun put(
        key: String,
        value: String,
    ) {
        revision++
        entries[key] = StoreEntry(key, value, revision)
        history += StoreChange(key, value, revision)
    }

    private fun remove(key: String) {
        revision++
        entries.remove(key)
        entryLeases.remove(key)
        history += StoreChange(key, null, revision)
    }

    private fun expireLeases(nowMs: Long) {
        val lapsed = leases.filterValues { nowMs >= it.untilMs }.keys
        if (lapsed.isEmpty()) return
        leases.keys.removeAll(lapsed.toSet())
        entryLeases
            .filterValues { it in lapsed }
            .keys
            .toList()
            .forEach(::remove)
    }
}

private data class Lease(
    val ttlMs: Long,
    val untilMs: Long,
)

private class OpenWatch(
    val call: StoreCall.Watch,
    val untilMs: Long,
    val answer: (StoreResult) -> Unit,
)

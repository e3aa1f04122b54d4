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

/** Result of a call to a [FakeStore]. */
internal typealias StoreResult = Either<StoreError, StoreReply>

/** Key-value store in virtual time with revisions, compare-and-swap, leases and watches that wait for changes. */
internal class FakeStore {
    private val entries = sortedMapOf<String, StoreEntry>()
    private val entryLeases = mutableMapOf<String, LeaseId>()
    private val history = mutableListOf<StoreChange>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private val watches = mutableListOf<PendingWatch>()
    private var nextLease = 1L
    var revision = 1L
        private set

    fun entry(key: String): StoreEntry? = entries[key]

    /** Executes [call]; [reply] is called immediately or, for a watch, when it completes. */
    fun execute(
        nowMs: Long,
        call: StoreCall,
        reply: (StoreResult) -> Unit,
    ) {
        expireLeases(nowMs)
        when (call) {
            is StoreCall.Watch -> watch(nowMs, call, reply)
            else -> reply(executeNow(nowMs, call))
        }
        completeWatches(nowMs)
    }

    /** Expires leases and completes watches that have reached their timeout. */
    fun onTick(nowMs: Long) {
        expireLeases(nowMs)
        completeWatches(nowMs)
    }

    /** Drops all waiting watches without a reply. */
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
        leases[call.lease] = lease.copy(endMs = nowMs + lease.ttlMs)
        return StoreReply.LeaseRenewed.right()
    }

    private fun watch(
        nowMs: Long,
        call: StoreCall.Watch,
        reply: (StoreResult) -> Unit,
    ) {
        watches += PendingWatch(call, nowMs + call.waitMs, reply)
    }

    private fun completeWatches(nowMs: Long) {
        val completed = watches.filter { nowMs >= it.endMs || it.call.afterRevision < revision }
        watches.removeAll(completed.toSet())
        completed.forEach { it.reply(StoreReply.Changes(changesFor(it.call), revision).right()) }
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
        val expired = leases.filterValues { nowMs >= it.endMs }.keys
        if (expired.isEmpty()) return
        leases.keys.removeAll(expired.toSet())
        entryLeases
            .filterValues { it in expired }
            .keys
            .toList()
            .forEach(::remove)
    }
}

private data class Lease(
    val ttlMs: Long,
    val endMs: Long,
)

private class PendingWatch(
    val call: StoreCall.Watch,
    val endMs: Long,
    val reply: (StoreResult) -> Unit,
)

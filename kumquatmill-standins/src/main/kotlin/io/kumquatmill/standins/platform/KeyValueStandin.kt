package io.kumquatmill.standins.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.store.LeaseId
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreCallKind
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import io.kumquatmill.store.kind
import java.util.EnumMap
import java.util.TreeMap

/**
 * Key-value service without input or output: revisions, compare-and-swap, leases, changes and faults.
 *
 * Tests under virtual time call it directly; [PlatformStandinServer] serves it over HTTP. It is not safe for use by
 * several threads. A watch never waits here: it is answered at once with the changes so far, and the code around it
 * asks again when [revision] has grown.
 */
class KeyValueStandin(
    private val maxValueBytes: Int = DEFAULT_MAX_VALUE_BYTES,
    changeLogCapacity: Int = DEFAULT_CHANGE_LOG_CAPACITY,
) {
    /** Faults in force; assign a copy to change them. */
    var faults: StoreFaults = StoreFaults()

    /** Revision of the last write, expiry or deletion. */
    var revision: Long = 0
        private set

    /** Number of calls received so far, by kind, refused ones included. */
    val callCounts: Map<StoreCallKind, Long>
        get() = counts.toMap()

    /** Most calls within one second so far. */
    val peakRates: PeakRates
        get() = meter.peak

    private val entries = TreeMap<String, StoredValue>()
    private val leases = HashMap<LeaseId, Lease>()
    private val changeLog = ChangeLog(changeLogCapacity)
    private val counts = EnumMap<StoreCallKind, Long>(StoreCallKind::class.java)
    private val meter = CallMeter()
    private var lastLeaseId = 0L

    /** Makes the answers of the next [count] writes get lost after the writes took effect. */
    fun loseNextAnswer(count: Int = 1) {
        faults = faults.copy(answersToLose = count, losesOnlyWrites = true)
    }

    /** Executes [call] at [nowMs], under the faults in force but for their delay. */
    fun execute(
        nowMs: Long,
        call: StoreCall,
    ): Either<StoreError, StoreReply> {
        counts.merge(call.kind, 1L, Long::plus)
        val callsPerS = meter.record(nowMs, call.kind.isWrite)
        return when {
            callsPerS > maxCallsPerS(call) -> StoreError.Unavailable("it is overloaded").left()
            faults.isDown -> StoreError.Unavailable("it is down").left()
            faults.isSilent -> StoreError.Unknown("it does not answer").left()
            else -> executeAnswered(nowMs, call)
        }
    }

    /** Removes the leases that have lapsed by [nowMs], with their entries. */
    fun expireLeases(nowMs: Long) {
        val lapsed = leases.values.filter { it.expiresAtMs <= nowMs }.sortedBy { it.id.value }
        lapsed.forEach { lease ->
            leases.remove(lease.id)
            entries
                .filterValues { it.lease == lease.id }
                .keys
                .forEach(::remove)
        }
    }

    /** Lets [lease] lapse now, as if its holder had not renewed it. */
    fun expireLease(lease: LeaseId) {
        val held = leases[lease] ?: return
        held.expiresAtMs = Long.MIN_VALUE
        expireLeases(Long.MIN_VALUE)
    }

    /** Returns the changes under [prefix] after [afterRevision], in order. */
    fun changesAfter(
        prefix: String,
        afterRevision: Long,
    ): List<StoreChange> = changeLog.after(prefix, afterRevision)

    private fun executeAnswered(
        nowMs: Long,
        call: StoreCall,
    ): Either<StoreError, StoreReply> {
        expireLeases(nowMs)
        val result = answer(nowMs, call)
        if (!losesAnswerOf(call)) {
            return result
        }
        faults = faults.copy(answersToLose = faults.answersToLose - 1)
        return StoreError.Unknown("the answer was lost").left()
    }

    private fun maxCallsPerS(call: StoreCall): Int {
        val bound = if (call.kind.isWrite) faults.maxWritesPerS else faults.maxReadsPerS
        return bound ?: Int.MAX_VALUE
    }

    private fun losesAnswerOf(call: StoreCall): Boolean = faults.answersToLose > 0 && (call.kind.isWrite || !faults.losesOnlyWrites)

    private fun answer(
        nowMs: Long,
        call: StoreCall,
    ): Either<StoreError, StoreReply> =
        when (call) {
            is StoreCall.Read -> StoreReply.Entry(entries[call.key]?.entry, revision).right()
            is StoreCall.ReadPrefix -> StoreReply.Entries(entriesUnder(call.prefix), revision).right()
            is StoreCall.CompareAndSwap -> compareAndSwap(call)
            is StoreCall.Delete -> delete(call)
            is StoreCall.GrantLease -> grantLease(nowMs, call)
            is StoreCall.RenewLease -> renewLease(nowMs, call)
            is StoreCall.Watch -> watch(call)
        }

    private fun entriesUnder(prefix: String): List<StoreEntry> =
        entries
            .tailMap(prefix)
            .entries
            .takeWhile { it.key.startsWith(prefix) }
            .map { it.value.entry }

    private fun compareAndSwap(call: StoreCall.CompareAndSwap): Either<StoreError, StoreReply> {
        val current = entries[call.key]?.entry
        val lease = call.lease
        return when {
            call.value.toByteArray().size > maxValueBytes ->
                StoreError.Rejected("the value of ${call.key} is larger than $maxValueBytes bytes").left()

            lease != null && lease !in leases -> StoreError.LeaseGone(lease).left()

            (current?.revision ?: StoreCall.NO_REVISION) != call.expectedRevision -> StoreError.Conflict(current).left()

            else -> write(call).right()
        }
    }

    private fun write(call: StoreCall.CompareAndSwap): StoreReply {
        revision += 1
        entries[call.key] = StoredValue(StoreEntry(call.key, call.value, revision), call.lease)
        changeLog.append(StoreChange(call.key, call.value, revision))
        return StoreReply.Written(revision)
    }

    private fun delete(call: StoreCall.Delete): Either<StoreError, StoreReply> {
        val current = entries[call.key]?.entry
        if (current == null || current.revision != call.expectedRevision) {
            return StoreError.Conflict(current).left()
        }
        remove(call.key)
        return StoreReply.Written(revision).right()
    }

    private fun remove(key: String) {
        revision += 1
        entries.remove(key)
        changeLog.append(StoreChange(key, value = null, revision = revision))
    }

    private fun grantLease(
        nowMs: Long,
        call: StoreCall.GrantLease,
    ): Either<StoreError, StoreReply> {
        if (call.ttlMs <= 0) {
            return StoreError.Rejected("the time to live of a lease must be positive").left()
        }
        lastLeaseId += 1
        val lease = LeaseId(lastLeaseId)
        leases[lease] = Lease(lease, call.ttlMs, nowMs + call.ttlMs)
        return StoreReply.LeaseGranted(lease).right()
    }

    private fun renewLease(
        nowMs: Long,
        call: StoreCall.RenewLease,
    ): Either<StoreError, StoreReply> {
        val lease = leases[call.lease] ?: return StoreError.LeaseGone(call.lease).left()
        lease.expiresAtMs = nowMs + lease.ttlMs
        return StoreReply.LeaseRenewed.right()
    }

    private fun watch(call: StoreCall.Watch): Either<StoreError, StoreReply> {
        if (!changeLog.covers(call.afterRevision)) {
            return StoreError.Rejected("changes after ${call.afterRevision} are no longer kept: read the prefix again").left()
        }
        return StoreReply.Changes(changesAfter(call.prefix, call.afterRevision), revision).right()
    }

    private data class StoredValue(
        val entry: StoreEntry,
        val lease: LeaseId?,
    )

    private class Lease(
        val id: LeaseId,
        val ttlMs: Long,
        var expiresAtMs: Long,
    )

    companion object {
        /** Largest value of an entry: one megabyte. */
        const val DEFAULT_MAX_VALUE_BYTES: Int = 1_048_576

        /** Changes that are kept for watches. */
        const val DEFAULT_CHANGE_LOG_CAPACITY: Int = 100_000
    }
}

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
 * In-memory key-value store without I/O that supports revisions, compare-and-swap, leases, watches and injected faults.
 *
 * Tests under virtual time call it directly; [PlatformStandinServer] serves it over HTTP. This class is not thread-safe.
 * A watch never blocks here: it immediately returns the changes so far, and the caller repeats it once [revision] has
 * increased.
 */
class KeyValueStandin(
    private val maxValueBytes: Int = DEFAULT_MAX_VALUE_BYTES,
    changeLogCapacity: Int = DEFAULT_CHANGE_LOG_CAPACITY,
) {
    /** Currently injected faults; assign a modified copy to change them. */
    var faults: StoreFaults = StoreFaults()

    /** Revision of the last write, lease expiry or deletion; 0 if there was none. */
    var revision: Long = 0
        private set

    /** Number of calls received so far, by kind, including failed calls. */
    val callCounts: Map<StoreCallKind, Long>
        get() = countsByKind.toMap()

    /** Highest call rates observed so far. */
    val peakRates: PeakRates
        get() = callMeter.peak

    private val entries = TreeMap<String, StoredValue>()
    private val leases = HashMap<LeaseId, Lease>()
    private val changeLog = ChangeLog(changeLogCapacity)
    private val countsByKind = EnumMap<StoreCallKind, Long>(StoreCallKind::class.java)
    private val callMeter = CallMeter()
    private var lastLeaseId = 0L

    /** Loses the responses to the next [count] writes, after the writes have taken effect. */
    fun loseNextWriteResponses(count: Int = 1) {
        faults = faults.copy(answersToLose = count, losesOnlyWrites = true)
    }

    /** Executes [call] at [nowMs] with the current [faults], except for [StoreFaults.delayMs], which the caller applies. */
    fun execute(
        nowMs: Long,
        call: StoreCall,
    ): Either<StoreError, StoreReply> {
        countsByKind.merge(call.kind, 1L, Long::plus)
        val callsPerS = callMeter.record(nowMs, call.kind.isWrite)
        return when {
            callsPerS > maxCallsPerS(call) -> StoreError.Unavailable("its rate limit is exceeded").left()
            faults.isDown -> StoreError.Unavailable("it is down").left()
            faults.isSilent -> StoreError.Unknown("it does not respond").left()
            else -> executeWithResponseLoss(nowMs, call)
        }
    }

    /** Removes the leases that have expired by [nowMs], and the entries attached to them. */
    fun expireLeases(nowMs: Long) {
        val expired = leases.values.filter { it.expiresAtMs <= nowMs }.sortedBy { it.id.value }
        expired.forEach { lease ->
            leases.remove(lease.id)
            entries
                .filterValues { it.lease == lease.id }
                .keys
                .forEach(::remove)
        }
    }

    /** Expires [lease] immediately, as if its holder had failed to renew it; does nothing if it does not exist. */
    fun expireLease(lease: LeaseId) {
        val current = leases[lease] ?: return
        current.expiresAtMs = Long.MIN_VALUE
        expireLeases(Long.MIN_VALUE)
    }

    /** Returns the retained changes after [afterRevision] to keys that start with [prefix], in revision order. */
    fun changesAfter(
        prefix: String,
        afterRevision: Long,
    ): List<StoreChange> = changeLog.changesAfter(prefix, afterRevision)

    private fun executeWithResponseLoss(
        nowMs: Long,
        call: StoreCall,
    ): Either<StoreError, StoreReply> {
        expireLeases(nowMs)
        val result = dispatch(nowMs, call)
        if (!isResponseLost(call)) {
            return result
        }
        faults = faults.copy(answersToLose = faults.answersToLose - 1)
        return StoreError.Unknown("the response was lost").left()
    }

    private fun maxCallsPerS(call: StoreCall): Int {
        val limit = if (call.kind.isWrite) faults.maxWritesPerS else faults.maxReadsPerS
        return limit ?: Int.MAX_VALUE
    }

    private fun isResponseLost(call: StoreCall): Boolean = faults.answersToLose > 0 && (call.kind.isWrite || !faults.losesOnlyWrites)

    private fun dispatch(
        nowMs: Long,
        call: StoreCall,
    ): Either<StoreError, StoreReply> =
        when (call) {
            is StoreCall.Read -> StoreReply.Entry(entries[call.key]?.entry, revision).right()
            is StoreCall.ReadPrefix -> StoreReply.Entries(entriesWithPrefix(call.prefix), revision).right()
            is StoreCall.CompareAndSwap -> compareAndSwap(call)
            is StoreCall.Delete -> delete(call)
            is StoreCall.GrantLease -> grantLease(nowMs, call)
            is StoreCall.RenewLease -> renewLease(nowMs, call)
            is StoreCall.Watch -> watch(call)
        }

    private fun entriesWithPrefix(prefix: String): List<StoreEntry> =
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
                StoreError.Rejected("the value of ${call.key} exceeds the maximum size of $maxValueBytes bytes").left()

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
        if (!changeLog.containsAllAfter(call.afterRevision)) {
            return StoreError.Rejected("changes after revision ${call.afterRevision} are no longer retained: read the prefix again").left()
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
        /** Default maximum size of a value: 1 MiB. */
        const val DEFAULT_MAX_VALUE_BYTES: Int = 1_048_576

        /** Default number of changes that are retained for watches. */
        const val DEFAULT_CHANGE_LOG_CAPACITY: Int = 100_000
    }
}

package io.kumquatmill.membership.lease

import arrow.core.Either
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.OutputBuilder
import io.kumquatmill.membership.record.HostRecord
import io.kumquatmill.membership.record.MembershipKeys
import io.kumquatmill.membership.record.encodeHostRecord
import io.kumquatmill.membership.store.StoreWatcher
import io.kumquatmill.store.LeaseId
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random

/**
 * Maintains a host's lease and the record `hosts/<host>` that is attached to it.
 *
 * The wanted record is compared with the [StoreWatcher]'s view, so that it is written again after a lost reply or an expired lease.
 */
internal class HostLeaseManager(
    host: HostId,
    private val settings: MembershipSettings,
    private val watcher: StoreWatcher,
    private val random: Random,
    private val fleetSize: () -> Int,
) {
    private val view = watcher.view
    private val key = MembershipKeys.host(host)
    private val recordHost = host
    private var lease: LeaseId? = null
    private var nextLeaseCallAtMs = Long.MIN_VALUE
    private var nextRecordCallAtMs = Long.MIN_VALUE
    private var jitteredRecoveryAtMs: Long? = null
    private var writtenRevision = StoreCall.NO_REVISION

    /** Whether the store has no record of this host, as of a revision that includes this host's last write. */
    val isRecordRemoved: Boolean
        get() = view.revision >= writtenRevision && recordHost !in view.records

    /** Maintains the lease and the record that [recordOf] returns; to be called only while the store responds. */
    fun onTick(
        nowMs: Long,
        recordOf: (LeaseId) -> HostRecord,
        out: OutputBuilder,
    ) {
        delayWritesAfterRecovery(nowMs)
        if (nowMs >= nextLeaseCallAtMs) grantOrRenewLease(nowMs, out)
        lease?.let { writeRecord(nowMs, recordOf(it), out) }
    }

    /** Renews a held lease although the store does not respond: a slow store may still process the renewal in time. */
    fun renewDuringOutage(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        if (lease != null && nowMs >= nextLeaseCallAtMs) grantOrRenewLease(nowMs, out)
    }

    /** Delays the first writes after a store outage by a random time, so that not all hosts write at once. */
    private fun delayWritesAfterRecovery(nowMs: Long) {
        val recoveredAtMs = watcher.recoveredAtMs
        if (recoveredAtMs == null || recoveredAtMs == jitteredRecoveryAtMs) return
        jitteredRecoveryAtMs = recoveredAtMs
        val delayMs = random.nextLong(settings.writeJitterMs(fleetSize()) + 1)
        nextLeaseCallAtMs = nowMs + delayMs
        nextRecordCallAtMs = nowMs + delayMs
    }

    /** Removes the record; the lease is left to expire. */
    fun removeRecord(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val stored = view.records[recordHost] ?: return
        if (!canWrite(nowMs)) return
        nextRecordCallAtMs = nowMs + settings.storeCallTimeoutMs
        out.addStoreCall(StoreCall.Delete(key, stored.revision))
    }

    /** Handles the result of a store call for the lease or the record. */
    fun onReply(
        nowMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
    ) {
        when (call) {
            is StoreCall.GrantLease -> onGranted(nowMs, result)
            is StoreCall.RenewLease -> onRenewed(nowMs, call, result)
            else -> onRecordWritten(nowMs, result)
        }
    }

    private fun grantOrRenewLease(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val held = lease
        if (held == null) {
            nextLeaseCallAtMs = nowMs + settings.storeCallTimeoutMs
            out.addStoreCall(StoreCall.GrantLease(settings.leaseTtlMs(fleetSize())))
        } else {
            nextLeaseCallAtMs = nowMs + settings.renewPeriodMs(fleetSize())
            out.addStoreCall(StoreCall.RenewLease(held))
        }
    }

    private fun onGranted(
        nowMs: Long,
        result: Either<StoreError, StoreReply>,
    ) {
        val granted = result.getOrNull() as? StoreReply.LeaseGranted
        val periodMs = settings.renewPeriodMs(fleetSize())
        nextLeaseCallAtMs = nowMs + periodMs
        if (granted != null) lease = granted.lease
    }

    private fun onRenewed(
        nowMs: Long,
        call: StoreCall.RenewLease,
        result: Either<StoreError, StoreReply>,
    ) {
        if (result.leftOrNull() !is StoreError.LeaseGone || call.lease != lease) return
        lease = null
        nextLeaseCallAtMs = nowMs
    }

    private fun writeRecord(
        nowMs: Long,
        record: HostRecord,
        out: OutputBuilder,
    ) {
        val stored = view.records[recordHost]
        if (stored?.value == record || !canWrite(nowMs)) return
        nextRecordCallAtMs = nowMs + settings.storeCallTimeoutMs
        val expected = stored?.revision ?: StoreCall.NO_REVISION
        out.addStoreCall(StoreCall.CompareAndSwap(key, expected, encodeHostRecord(record), record.lease))
    }

    private fun canWrite(nowMs: Long) = nowMs >= nextRecordCallAtMs && view.revision >= writtenRevision

    private fun onRecordWritten(
        nowMs: Long,
        result: Either<StoreError, StoreReply>,
    ) {
        nextRecordCallAtMs = nowMs + result.fold({ settings.renewPeriodMs(fleetSize()) }, { 0 })
        result.fold(
            { error -> if (error is StoreError.LeaseGone) discardLease(nowMs) },
            { reply -> if (reply is StoreReply.Written) writtenRevision = reply.revision },
        )
    }

    private fun discardLease(nowMs: Long) {
        lease = null
        nextLeaseCallAtMs = nowMs
    }
}

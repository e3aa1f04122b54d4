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
 * Keeps the lease of a host and the record `hosts/<host>` that hangs on it.
 *
 * The record is compared with the store's view, so that lost answers and lapsed leases mend themselves.
 */
internal class LeaseKeeper(
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
    private var nextLeaseCallMs = Long.MIN_VALUE
    private var nextRecordCallMs = Long.MIN_VALUE
    private var spreadReturnMs: Long? = null
    private var writtenRevision = StoreCall.NO_REVISION

    /** Returns whether the store has no record of this host and none is on its way. */
    val isRecordGone: Boolean
        get() = view.revision >= writtenRevision && recordHost !in view.records

    /** Keeps the lease and a record made by [recordOf]; the caller has made sure that the store answers. */
    fun onTick(
        nowMs: Long,
        recordOf: (LeaseId) -> HostRecord,
        out: OutputBuilder,
    ) {
        spreadAfterReturn(nowMs)
        if (nowMs >= nextLeaseCallMs) callForLease(nowMs, out)
        lease?.let { writeRecord(nowMs, recordOf(it), out) }
    }

    /** Renews a lease that is held while the store is silent: a slow store may still take the renewal in time. */
    fun renewThroughSilence(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        if (lease != null && nowMs >= nextLeaseCallMs) callForLease(nowMs, out)
    }

    /** After an outage, waits for a random time, so that not all hosts write at once. */
    private fun spreadAfterReturn(nowMs: Long) {
        val returnedMs = watcher.returnedMs
        if (returnedMs == null || returnedMs == spreadReturnMs) return
        spreadReturnMs = returnedMs
        val delayMs = random.nextLong(settings.writeSpreadMs(fleetSize()) + 1)
        nextLeaseCallMs = nowMs + delayMs
        nextRecordCallMs = nowMs + delayMs
    }

    /** Removes the record; the lease then lapses by itself. */
    fun remove(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val stored = view.records[recordHost] ?: return
        if (!mayWrite(nowMs)) return
        nextRecordCallMs = nowMs + settings.storeCallTimeoutMs
        out.call(StoreCall.Delete(key, stored.revision))
    }

    /** Takes the result of a call for the lease or the record. */
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

    private fun callForLease(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val held = lease
        if (held == null) {
            nextLeaseCallMs = nowMs + settings.storeCallTimeoutMs
            out.call(StoreCall.GrantLease(settings.leaseTtlMs(fleetSize())))
        } else {
            nextLeaseCallMs = nowMs + settings.renewPeriodMs(fleetSize())
            out.call(StoreCall.RenewLease(held))
        }
    }

    private fun onGranted(
        nowMs: Long,
        result: Either<StoreError, StoreReply>,
    ) {
        val granted = result.getOrNull() as? StoreReply.LeaseGranted
        val periodMs = settings.renewPeriodMs(fleetSize())
        nextLeaseCallMs = nowMs + periodMs
        if (granted != null) lease = granted.lease
    }

    private fun onRenewed(
        nowMs: Long,
        call: StoreCall.RenewLease,
        result: Either<StoreError, StoreReply>,
    ) {
        if (result.leftOrNull() !is StoreError.LeaseGone || call.lease != lease) return
        lease = null
        nextLeaseCallMs = nowMs
    }

    private fun writeRecord(
        nowMs: Long,
        record: HostRecord,
        out: OutputBuilder,
    ) {
        val stored = view.records[recordHost]
        if (stored?.value == record || !mayWrite(nowMs)) return
        nextRecordCallMs = nowMs + settings.storeCallTimeoutMs
        val expected = stored?.revision ?: StoreCall.NO_REVISION
        out.call(StoreCall.CompareAndSwap(key, expected, encodeHostRecord(record), record.lease))
    }

    private fun mayWrite(nowMs: Long) = nowMs >= nextRecordCallMs && view.revision >= writtenRevision

    private fun onRecordWritten(
        nowMs: Long,
        result: Either<StoreError, StoreReply>,
    ) {
        nextRecordCallMs = nowMs + result.fold({ settings.renewPeriodMs(fleetSize()) }, { 0 })
        result.fold(
            { error -> if (error is StoreError.LeaseGone) forgetLease(nowMs) },
            { reply -> if (reply is StoreReply.Written) writtenRevision = reply.revision },
        )
    }

    private fun forgetLease(nowMs: Long) {
        lease = null
        nextLeaseCallMs = nowMs
    }
}

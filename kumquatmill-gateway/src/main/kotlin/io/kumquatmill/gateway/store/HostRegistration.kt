package io.kumquatmill.gateway.store

import arrow.core.Either
import io.kumquatmill.store.LeaseId
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random

/**
 * Keeps the record of this host in the store, attached to a lease.
 *
 * The record gives peers the address of the host and is not a liveness signal, so its lease is long and rarely renewed.
 *
 * @param key store key of the record
 * @param record JSON of this host's [io.kumquatmill.traffic.fleet.EntryHostInfo]
 */
class HostRegistration(
    private val key: String,
    private val record: String,
    private val sendCall: SendStoreCall,
    private val runAfter: RunAfter,
    private val random: Random,
) {
    private var lease: LeaseId? = null
    private var recordRevision = StoreCall.NO_REVISION
    private var isDeregistered = false
    private var generation = 0

    /** Requests a lease, writes the record and keeps the lease renewed. */
    fun start() = grantLease()

    /** Registers again, because the store came back from an older copy and may have lost the lease or the record. */
    fun onStoreRestored() {
        generation++
        lease = null
        scheduleWithJitter(RESTORE_DELAY_MS) { grantLease() }
    }

    /** Deletes the record, so that peers can remove this host from the fleet, and stops renewing the lease. */
    fun deregister() {
        isDeregistered = true
        if (recordRevision != StoreCall.NO_REVISION) send(StoreCall.Delete(key, recordRevision)) { }
    }

    private fun grantLease() {
        if (isDeregistered) return
        send(StoreCall.GrantLease(LEASE_TTL_MS)) { result ->
            val granted = result.getOrNull() as? StoreReply.LeaseGranted
            lease = granted?.lease
            if (granted != null) writeRecord(StoreCall.NO_REVISION) else scheduleWithJitter(RETRY_DELAY_MS) { grantLease() }
        }
    }

    private fun writeRecord(expectedRevision: Long) {
        if (isDeregistered) return
        send(StoreCall.CompareAndSwap(key, expectedRevision, record, lease)) { result ->
            result.fold({ error ->
                when (error) {
                    is StoreError.Conflict -> writeRecord(error.current?.revision ?: StoreCall.NO_REVISION)
                    is StoreError.LeaseGone -> scheduleWithJitter(RETRY_DELAY_MS) { grantLease() }
                    else -> scheduleWithJitter(RETRY_DELAY_MS) { writeRecord(expectedRevision) }
                }
            }) { reply ->
                recordRevision = (reply as StoreReply.Written).revision
                scheduleWithJitter(RENEW_INTERVAL_MS) { renewLease() }
            }
        }
    }

    private fun renewLease() {
        val currentLease = lease
        if (isDeregistered || currentLease == null) return
        send(StoreCall.RenewLease(currentLease)) { result ->
            if (result.leftOrNull() is StoreError.LeaseGone) grantLease() else scheduleWithJitter(RENEW_INTERVAL_MS) { renewLease() }
        }
    }

    /** Sends [call]; the result of a call from before a restore of the store is ignored. */
    private fun send(
        call: StoreCall,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        val sentIn = generation
        sendCall(call) { if (sentIn == generation) onResult(it) }
    }

    private fun scheduleWithJitter(
        delayMs: Long,
        task: () -> Unit,
    ) {
        val scheduledIn = generation
        runAfter(delayMs / 2 + random.nextLong(delayMs / 2 + 1)) { if (scheduledIn == generation) task() }
    }

    private companion object {
        /** Outlives a restart of the whole fleet, after which hosts must know the size of the fleet. */
        const val LEASE_TTL_MS = 30_000L
        const val RENEW_INTERVAL_MS = 9_000L
        const val RETRY_DELAY_MS = 1_000L

        /** Spreads the writes of all hosts after the store came back. */
        const val RESTORE_DELAY_MS = 2_000L
    }
}

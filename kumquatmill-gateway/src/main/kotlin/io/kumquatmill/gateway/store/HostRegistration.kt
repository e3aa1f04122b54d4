package io.kumquatmill.gateway.store

import io.kumquatmill.store.LeaseId
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random

/**
 * Keeps the record of this host in the store under a lease.
 *
 * The record tells peers where the host is, not that it lives, so its lease is long and seldom renewed.
 */
class HostRegistration(
    private val key: String,
    private val record: String,
    private val send: SendStoreCall,
    private val runAfter: RunAfter,
    private val random: Random,
) {
    private var lease: LeaseId? = null
    private var writtenAt = StoreCall.NO_REVISION
    private var isOver = false

    /** Starts to register. */
    fun start() = grant()

    /** Removes the record, so that peers forget the host at once. */
    fun end() {
        isOver = true
        if (writtenAt != StoreCall.NO_REVISION) send(StoreCall.Delete(key, writtenAt)) { }
    }

    private fun grant() {
        if (isOver) return
        send(StoreCall.GrantLease(LEASE_MS)) { result ->
            val granted = result.getOrNull() as? StoreReply.LeaseGranted
            lease = granted?.lease
            if (granted != null) write(StoreCall.NO_REVISION) else later(RETRY_MS) { grant() }
        }
    }

    private fun write(expectedRevision: Long) {
        if (isOver) return
        send(StoreCall.CompareAndSwap(key, expectedRevision, record, lease)) { result ->
            result.fold({ error ->
                when (error) {
                    is StoreError.Conflict -> write(error.current?.revision ?: StoreCall.NO_REVISION)
                    is StoreError.LeaseGone -> later(RETRY_MS) { grant() }
                    else -> later(RETRY_MS) { write(expectedRevision) }
                }
            }) { reply ->
                writtenAt = (reply as StoreReply.Written).revision
                later(RENEW_MS) { renew() }
            }
        }
    }

    private fun renew() {
        val held = lease
        if (isOver || held == null) return
        send(StoreCall.RenewLease(held)) { result ->
            if (result.leftOrNull() is StoreError.LeaseGone) grant() else later(RENEW_MS) { renew() }
        }
    }

    private fun later(
        delayMs: Long,
        task: () -> Unit,
    ) = runAfter(delayMs / 2 + random.nextLong(delayMs / 2 + 1), task)

    private companion object {
        /** Outlives a restart of the whole fleet, after which hosts must know how many they are. */
        const val LEASE_MS = 30_000L
        const val RENEW_MS = 9_000L
        const val RETRY_MS = 1_000L
    }
}

package io.kumquatmill.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right

/** Reads the entry of [key]. */
fun StoreClient.read(key: String): Either<StoreError, StoreReply.Entry> = call(StoreCall.Read(key))

/** Reads the entries whose key starts with [prefix]; only the first page if [StoreReply.Entries.hasMore] is true. */
fun StoreClient.readPrefix(prefix: String): Either<StoreError, StoreReply.Entries> = call(StoreCall.ReadPrefix(prefix))

/**
 * Writes [value] if the entry of [key] still has [expectedRevision], or returns [StoreError.Conflict].
 *
 * [StoreCall.NO_REVISION] means that the entry must not exist yet. With a [lease], the entry is removed when the lease expires.
 */
fun StoreClient.compareAndSwap(
    key: String,
    expectedRevision: Long,
    value: String,
    lease: LeaseId? = null,
): Either<StoreError, StoreReply.Written> = call(StoreCall.CompareAndSwap(key, expectedRevision, value, lease))

/** Deletes the entry of [key] if it still has [expectedRevision], or returns [StoreError.Conflict]. */
fun StoreClient.delete(
    key: String,
    expectedRevision: Long,
): Either<StoreError, StoreReply.Written> = call(StoreCall.Delete(key, expectedRevision))

/** Requests a lease with a time to live of [ttlMs]. */
fun StoreClient.grantLease(ttlMs: Long): Either<StoreError, StoreReply.LeaseGranted> = call(StoreCall.GrantLease(ttlMs))

/** Renews [lease], or returns [StoreError.LeaseGone] if it has expired. */
fun StoreClient.renewLease(lease: LeaseId): Either<StoreError, StoreReply.LeaseRenewed> = call(StoreCall.RenewLease(lease))

/** Waits at most [waitMs] for changes under [prefix] after [afterRevision]; the list is empty if there were none. */
fun StoreClient.watch(
    prefix: String,
    afterRevision: Long,
    waitMs: Long,
): Either<StoreError, StoreReply.Changes> = call(StoreCall.Watch(prefix, afterRevision, waitMs))

private inline fun <reified R : StoreReply> StoreClient.call(call: StoreCall): Either<StoreError, R> =
    execute(call).flatMap { reply ->
        if (reply is R) reply.right() else StoreError.Rejected("the store sent a reply of another kind than the call expects").left()
    }

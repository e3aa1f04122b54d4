package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

private const val NUMBER_BITS = 48
private const val MAX_NUMBER = (1L shl NUMBER_BITS) - 1

/**
 * Returns the revision that the store gave out as [number] in [era]; throws [IllegalArgumentException] if it is out of range.
 *
 * A store that comes back from an older copy gives numbers out again. With the era in its upper bits, a later revision is higher whatever
 * its number is, on all hosts.
 */
internal fun revisionIn(
    era: Long,
    number: Long,
): Long {
    require(number in 0..MAX_NUMBER) { "revision $number is not from 0 to $MAX_NUMBER" }
    return (era shl NUMBER_BITS) or number
}

/** Returns the era of [revision]. */
internal fun eraOf(revision: Long): Long = revision ushr NUMBER_BITS

/** Returns the number by which the store knows [revision]. */
internal fun numberOf(revision: Long): Long = revision and MAX_NUMBER

/** Returns [revision] for log lines, as "era/number". */
internal fun describeRevision(revision: Long): String = "${eraOf(revision)}/${numberOf(revision)}"

/** Returns this call with the numbers by which the store knows its revisions. */
internal fun StoreCall.withNumbers(): StoreCall =
    when (this) {
        is StoreCall.Watch -> copy(afterRevision = numberOf(afterRevision))
        is StoreCall.CompareAndSwap -> copy(expectedRevision = numberOf(expectedRevision))
        is StoreCall.Delete -> copy(expectedRevision = numberOf(expectedRevision))
        is StoreCall.Read, is StoreCall.ReadPrefix, is StoreCall.GrantLease, is StoreCall.RenewLease -> this
    }

/** Returns this reply with the revisions that its numbers mean in [era]. */
internal fun StoreReply.inEra(era: Long): StoreReply =
    when (this) {
        is StoreReply.Entry -> copy(entry = entry?.inEra(era), revision = revisionIn(era, revision))
        is StoreReply.Entries -> copy(entries = entries.map { it.inEra(era) }, revision = revisionIn(era, revision))
        is StoreReply.Changes -> copy(changes = changes.map { it.inEra(era) }, revision = revisionIn(era, revision))
        is StoreReply.Written -> copy(revision = revisionIn(era, revision))
        is StoreReply.LeaseGranted, is StoreReply.LeaseRenewed -> this
    }

/** Returns this error with the revisions that its numbers mean in [era]. */
internal fun StoreError.inEra(era: Long): StoreError = if (this is StoreError.Conflict) copy(current = current?.inEra(era)) else this

private fun StoreEntry.inEra(era: Long) = copy(revision = revisionIn(era, revision))

private fun StoreChange.inEra(era: Long) = copy(revision = revisionIn(era, revision))

package io.kumquatmill.store

/** One call of the platform's key-value service. */
sealed interface StoreCall {
    /** Reads the entry of [key]; answered by [StoreReply.Entry]. */
    data class Read(
        val key: String,
    ) : StoreCall

    /** Reads all entries whose key starts with [prefix]; answered by [StoreReply.Entries]. */
    data class ReadPrefix(
        val prefix: String,
    ) : StoreCall

    /**
     * Writes [value] if the entry of [key] still has [expectedRevision]; answered by [StoreReply.Written].
     *
     * [NO_REVISION] expects that there is no entry. With a [lease], the entry vanishes when the lease lapses.
     */
    data class CompareAndSwap(
        val key: String,
        val expectedRevision: Long,
        val value: String,
        val lease: LeaseId? = null,
    ) : StoreCall

    /** Deletes the entry of [key] if it still has [expectedRevision]; answered by [StoreReply.Written]. */
    data class Delete(
        val key: String,
        val expectedRevision: Long,
    ) : StoreCall

    /** Asks for a lease that lapses when it is not renewed for [ttlMs]; answered by [StoreReply.LeaseGranted]. */
    data class GrantLease(
        val ttlMs: Long,
    ) : StoreCall

    /** Renews [lease]; answered by [StoreReply.LeaseRenewed] or [StoreError.LeaseGone]. */
    data class RenewLease(
        val lease: LeaseId,
    ) : StoreCall

    /**
     * Waits at most [waitMs] for changes under [prefix] after [afterRevision]; answered by [StoreReply.Changes].
     *
     * An empty list of changes means that nothing changed while it waited.
     */
    data class Watch(
        val prefix: String,
        val afterRevision: Long,
        val waitMs: Long,
    ) : StoreCall

    companion object {
        /** Revision of an entry that does not exist. */
        const val NO_REVISION: Long = 0
    }
}

package io.kumquatmill.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A call to the platform's key-value store. */
@Serializable
sealed interface StoreCall {
    /** Reads the entry of [key]; answered by [StoreReply.Entry]. */
    @Serializable
    @SerialName("read")
    data class Read(
        val key: String,
    ) : StoreCall

    /**
     * Reads the entries whose key starts with [prefix]; answered by [StoreReply.Entries].
     *
     * The reply may be one of several pages. The next page is requested with the last key of the previous one as [afterKey].
     */
    @Serializable
    @SerialName("read-prefix")
    data class ReadPrefix(
        val prefix: String,
        val afterKey: String? = null,
    ) : StoreCall

    /**
     * Writes [value] if the entry of [key] still has [expectedRevision]; answered by [StoreReply.Written] or
     * [StoreError.Conflict].
     *
     * [NO_REVISION] means that the entry must not exist yet. With a [lease], the entry is removed when the lease expires.
     */
    @Serializable
    @SerialName("compare-and-swap")
    data class CompareAndSwap(
        val key: String,
        val expectedRevision: Long,
        val value: String,
        val lease: LeaseId? = null,
    ) : StoreCall

    /** Deletes the entry of [key] if it still has [expectedRevision]; answered by [StoreReply.Written] or [StoreError.Conflict]. */
    @Serializable
    @SerialName("delete")
    data class Delete(
        val key: String,
        val expectedRevision: Long,
    ) : StoreCall

    /** Requests a lease that expires when it is not renewed within [ttlMs]; answered by [StoreReply.LeaseGranted]. */
    @Serializable
    @SerialName("grant-lease")
    data class GrantLease(
        val ttlMs: Long,
    ) : StoreCall

    /** Renews [lease]; answered by [StoreReply.LeaseRenewed] or [StoreError.LeaseGone]. */
    @Serializable
    @SerialName("renew-lease")
    data class RenewLease(
        val lease: LeaseId,
    ) : StoreCall

    /**
     * Waits at most [waitMs] for changes under [prefix] after [afterRevision]; answered by [StoreReply.Changes].
     *
     * The list of changes is empty if nothing changed within [waitMs].
     */
    @Serializable
    @SerialName("watch")
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

package io.kumquatmill.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Successful reply of the key-value store to a [StoreCall]. */
@Serializable
sealed interface StoreReply {
    /** The entry that was read, or null if there is none; [revision] is the current revision of the store. */
    @Serializable
    @SerialName("entry")
    data class Entry(
        val entry: StoreEntry?,
        val revision: Long,
    ) : StoreReply

    /** Entries under a prefix as of [revision]; [hasMore] is true if further pages follow. */
    @Serializable
    @SerialName("entries")
    data class Entries(
        val entries: List<StoreEntry>,
        val revision: Long,
        val hasMore: Boolean = false,
    ) : StoreReply

    /** A write took effect at [revision]. */
    @Serializable
    @SerialName("written")
    data class Written(
        val revision: Long,
    ) : StoreReply

    /** A lease was granted. */
    @Serializable
    @SerialName("lease-granted")
    data class LeaseGranted(
        val lease: LeaseId,
    ) : StoreReply

    /** A lease was renewed. */
    @Serializable
    @SerialName("lease-renewed")
    data object LeaseRenewed : StoreReply

    /** Changes after the requested revision, in order, up to and including [revision]. */
    @Serializable
    @SerialName("changes")
    data class Changes(
        val changes: List<StoreChange>,
        val revision: Long,
    ) : StoreReply
}

package io.kumquatmill.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Successful answer of the key-value service to a [StoreCall]. */
@Serializable
sealed interface StoreReply {
    /** The entry that was read, or null if there is none; [revision] is the service's current revision. */
    @Serializable
    @SerialName("entry")
    data class Entry(
        val entry: StoreEntry?,
        val revision: Long,
    ) : StoreReply

    /** Entries under a prefix as of [revision]; with [hasMore], further pages follow. */
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

    /** Changes after the revision that was asked for, in order, up to [revision]. */
    @Serializable
    @SerialName("changes")
    data class Changes(
        val changes: List<StoreChange>,
        val revision: Long,
    ) : StoreReply
}

package io.kumquatmill.store

/** Successful answer of the key-value service to a [StoreCall]. */
sealed interface StoreReply {
    /** The entry that was read, or null if there is none; [revision] is the service's current revision. */
    data class Entry(
        val entry: StoreEntry?,
        val revision: Long,
    ) : StoreReply

    /** All entries under a prefix as of [revision]. */
    data class Entries(
        val entries: List<StoreEntry>,
        val revision: Long,
    ) : StoreReply

    /** A write took effect at [revision]. */
    data class Written(
        val revision: Long,
    ) : StoreReply

    /** A lease was granted. */
    data class LeaseGranted(
        val lease: LeaseId,
    ) : StoreReply

    /** A lease was renewed. */
    data object LeaseRenewed : StoreReply

    /** Changes after the revision that was asked for, in order, up to [revision]. */
    data class Changes(
        val changes: List<StoreChange>,
        val revision: Long,
    ) : StoreReply
}

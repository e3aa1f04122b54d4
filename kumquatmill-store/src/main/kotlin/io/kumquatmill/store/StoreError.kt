package io.kumquatmill.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a [StoreCall] failed; [message] includes the remedy. The class names are label values in metrics. */
@Serializable
sealed interface StoreError {
    val message: String

    /** The entry does not have the expected revision; nothing was written. [current] is null if there is no entry. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(
        val current: StoreEntry?,
    ) : StoreError {
        override val message: String
            get() = "the entry was changed concurrently: read it again and repeat the edit"
    }

    /** The lease has expired; nothing was renewed or written. */
    @Serializable
    @SerialName("lease-gone")
    data class LeaseGone(
        val lease: LeaseId,
    ) : StoreError {
        override val message: String
            get() = "lease ${lease.value} has expired: request a new lease"
    }

    /** The changes requested by a watch are no longer retained. */
    @Serializable
    @SerialName("history-gone")
    data class HistoryGone(
        val afterRevision: Long,
    ) : StoreError {
        override val message: String
            get() = "changes after revision $afterRevision are no longer retained: read the prefix again"
    }

    /** The store did not accept the call; nothing was written. */
    @Serializable
    @SerialName("unavailable")
    data class Unavailable(
        val detail: String,
    ) : StoreError {
        override val message: String
            get() = "the key-value store is unavailable ($detail): retry later"
    }

    /** The reply was lost; a write may or may not have taken effect. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val detail: String,
    ) : StoreError {
        override val message: String
            get() = "the outcome of the call is unknown ($detail): read the entry back before writing again"
    }

    /** The store rejected the call as malformed or too large; nothing was written. */
    @Serializable
    @SerialName("rejected")
    data class Rejected(
        val detail: String,
    ) : StoreError {
        override val message: String
            get() = "the key-value store rejected the call: $detail"
    }
}

package io.kumquatmill.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a [StoreCall] did not succeed; [message] names the remedy. */
@Serializable
sealed interface StoreError {
    val message: String

    /** The entry has another revision than expected; nothing was written. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(
        val current: StoreEntry?,
    ) : StoreError {
        override val message: String
            get() = "the entry was changed meanwhile: read it again and repeat the edit"
    }

    /** The lease has lapsed; nothing was renewed or written. */
    @Serializable
    @SerialName("lease-gone")
    data class LeaseGone(
        val lease: LeaseId,
    ) : StoreError {
        override val message: String
            get() = "lease ${lease.value} has lapsed: ask for a new lease"
    }

    /** Changes that a watch asked for are no longer kept. */
    @Serializable
    @SerialName("history-gone")
    data class HistoryGone(
        val afterRevision: Long,
    ) : StoreError {
        override val message: String
            get() = "changes after revision $afterRevision are no longer kept: read the prefix again"
    }

    /** The service did not take the call; nothing was written. */
    @Serializable
    @SerialName("unavailable")
    data class Unavailable(
        val detail: String,
    ) : StoreError {
        override val message: String
            get() = "the key-value service is unavailable ($detail): try again later"
    }

    /** The answer was lost; a write may or may not have taken effect. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val detail: String,
    ) : StoreError {
        override val message: String
            get() = "the outcome of the call is unknown ($detail): read the entry back before writing again"
    }

    /** The service refused the call as malformed or too large; nothing was written. */
    @Serializable
    @SerialName("rejected")
    data class Rejected(
        val detail: String,
    ) : StoreError {
        override val message: String
            get() = "the key-value service rejected the call: $detail"
    }
}

package io.kumquatmill.store

/** Why a [StoreCall] did not succeed; [message] names the remedy. */
sealed interface StoreError {
    val message: String

    /** The entry has another revision than expected; nothing was written. */
    data class Conflict(
        val current: StoreEntry?,
    ) : StoreError {
        override val message: String = "the entry was changed meanwhile: read it again and repeat the edit"
    }

    /** The lease has lapsed; nothing was renewed or written. */
    data class LeaseGone(
        val lease: LeaseId,
    ) : StoreError {
        override val message: String = "lease ${lease.value} has lapsed: ask for a new lease"
    }

    /** The service did not take the call; nothing was written. */
    data class Unavailable(
        val detail: String,
    ) : StoreError {
        override val message: String = "the key-value service is unavailable ($detail): try again later"
    }

    /** The answer was lost; a write may or may not have taken effect. */
    data class Unknown(
        val detail: String,
    ) : StoreError {
        override val message: String = "the outcome of the call is unknown ($detail): read the entry back before writing again"
    }

    /** The service refused the call as malformed or too large; nothing was written. */
    data class Rejected(
        val detail: String,
    ) : StoreError {
        override val message: String = "the key-value service rejected the call: $detail"
    }
}

package io.kumquatmill.configuration.edit

import io.kumquatmill.configuration.json.DecodeError
import io.kumquatmill.store.StoreError

/** Reason why an edit was not committed, or may not have been; [message] includes the remedy. */
sealed interface CommitError {
    val message: String

    /** The edit cannot be applied to the stored configuration; nothing was written. */
    data class NotApplicable(
        val error: EditError,
    ) : CommitError {
        override val message: String = error.message
    }

    /** Another operator changed the same entry from [expected] to [current]; nothing was written. */
    data class EntryChanged(
        val expected: EditedEntry,
        val current: EditedEntry,
    ) : CommitError {
        override val message: String =
            "another operator changed the same entry: it was $expected and is now $current; " +
                "review it and repeat the edit if it still applies"
    }

    /** The stored document is not a valid configuration; nothing was written. */
    data class StoredConfigurationInvalid(
        val error: DecodeError,
    ) : CommitError {
        override val message: String = "the stored configuration is invalid: ${error.message}"
    }

    /** The store could not be read or rejected the write; nothing was written. */
    data class NotWritten(
        val error: StoreError,
    ) : CommitError {
        override val message: String = "nothing was written: ${error.message}"
    }

    /** Each of the [attempts] conflicted with a concurrent edit; nothing was written. */
    data class TooManyConflicts(
        val attempts: Int,
    ) : CommitError {
        override val message: String = "nothing was written: all $attempts attempts conflicted with concurrent edits; repeat the edit"
    }

    /** The write may or may not have taken effect, and reading the store back did not resolve it; [detail] tells why. */
    data class OutcomeUnknown(
        val edit: EditId,
        val detail: String,
    ) : CommitError {
        override val message: String =
            "it is unknown whether edit '$edit' took effect ($detail): repeat it with the same edit id; it takes effect only once"
    }
}

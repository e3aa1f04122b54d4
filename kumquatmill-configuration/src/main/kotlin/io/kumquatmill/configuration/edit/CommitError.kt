package io.kumquatmill.configuration.edit

import io.kumquatmill.configuration.json.DecodeError
import io.kumquatmill.store.StoreError

/** Why an edit was not committed, or may not have been; [message] names the remedy. */
sealed interface CommitError {
    val message: String

    /** The edit does not fit the lists; nothing was written. */
    data class NotApplicable(
        val error: EditError,
    ) : CommitError {
        override val message: String = error.message
    }

    /** Another operator changed the same entry after it was seen; nothing was written. */
    data class EntryChanged(
        val seen: EditedEntry,
        val current: EditedEntry,
    ) : CommitError {
        override val message: String =
            "another operator changed the same entry: it was $seen and is now $current; look at it and repeat the edit if it still applies"
    }

    /** The document in the store can not be decoded; nothing was written. */
    data class StoredListsInvalid(
        val error: DecodeError,
    ) : CommitError {
        override val message: String = "the stored lists are invalid: ${error.message}"
    }

    /** The store did not take the edit; nothing was written. */
    data class NotWritten(
        val error: StoreError,
    ) : CommitError {
        override val message: String = "nothing was written: ${error.message}"
    }

    /** Other operators' edits came first each time; nothing was written. */
    data class TooManyConflicts(
        val attempts: Int,
    ) : CommitError {
        override val message: String = "other edits came first $attempts times, nothing was written: repeat the edit"
    }

    /** The write may or may not have taken effect, and the store could not be read back. */
    data class OutcomeUnknown(
        val edit: EditId,
        val detail: String,
    ) : CommitError {
        override val message: String =
            "it is unknown whether edit '$edit' took effect ($detail): repeat it with the same edit id, it takes effect once"
    }
}

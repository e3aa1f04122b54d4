package io.kumquatmill.configuration.register

import arrow.core.NonEmptyList
import io.kumquatmill.configuration.json.DecodeError
import io.kumquatmill.configuration.validation.ListError

/** Why lists that arrived do not replace those in force; [message] names the remedy. */
sealed interface RegisterError {
    val message: String

    /** The document in the store can not be taken. */
    data class InvalidDocument(
        val revision: Long,
        val inForce: Long,
        val error: DecodeError,
    ) : RegisterError {
        override val message: String =
            "the stored lists of revision $revision are invalid, revision $inForce stays in force: ${error.message}"
    }

    /** A peer sent lists that are not valid. */
    data class InvalidLists(
        val revision: Long,
        val errors: NonEmptyList<ListError>,
    ) : RegisterError {
        override val message: String =
            "a peer sent invalid lists of revision $revision: run the same release on all hosts; ${errors.joinToString(
                "; ",
            ) { it.message }}"
    }

    /** The entry was deleted from the store. */
    data class Deleted(
        val revision: Long,
        val inForce: Long,
    ) : RegisterError {
        override val message: String =
            "the stored lists were deleted at revision $revision, revision $inForce stays in force: write them again"
    }
}

package io.kumquatmill.configuration.current

import arrow.core.NonEmptyList
import io.kumquatmill.configuration.json.DecodeError
import io.kumquatmill.configuration.validation.ValidationError

/** Reason why a received configuration does not replace the active one; [message] includes the remedy. */
sealed interface ConfigurationUpdateError {
    val message: String

    /** The stored document cannot be decoded or is invalid. */
    data class InvalidDocument(
        val revision: Long,
        val activeRevision: Long,
        val error: DecodeError,
    ) : ConfigurationUpdateError {
        override val message: String =
            "the stored configuration of revision $revision is invalid, revision $activeRevision stays active: ${error.message}"
    }

    /** A peer sent an invalid configuration. */
    data class InvalidPeerConfiguration(
        val revision: Long,
        val errors: NonEmptyList<ValidationError>,
    ) : ConfigurationUpdateError {
        override val message: String =
            "a peer sent an invalid configuration of revision $revision: run the same release on all hosts; ${errors.joinToString(
                "; ",
            ) { it.message }}"
    }

    /** The configuration was deleted from the store. */
    data class Deleted(
        val revision: Long,
        val activeRevision: Long,
    ) : ConfigurationUpdateError {
        override val message: String =
            "the stored configuration was deleted at revision $revision, revision $activeRevision stays active: write it again"
    }
}

package io.kumquatmill.configuration.json

import arrow.core.NonEmptyList
import io.kumquatmill.configuration.validation.ListError

/** Why a text could not be taken as the operators' lists; [message] names the remedy. */
sealed interface DecodeError {
    val message: String

    /** The text is not JSON of the expected shape. */
    data class Malformed(
        val detail: String,
    ) : DecodeError {
        override val message: String = "the lists can not be decoded ($detail): correct the JSON text"
    }

    /** The text was decoded, but its values are not acceptable. */
    data class Invalid(
        val errors: NonEmptyList<ListError>,
    ) : DecodeError {
        override val message: String = errors.joinToString("; ") { it.message }
    }
}

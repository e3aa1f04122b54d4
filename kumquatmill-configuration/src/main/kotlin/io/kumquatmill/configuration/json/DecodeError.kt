package io.kumquatmill.configuration.json

import arrow.core.NonEmptyList
import io.kumquatmill.configuration.validation.ValidationError

/** Reason why a text could not be decoded as a configuration; [message] includes the remedy. */
sealed interface DecodeError {
    val message: String

    /** The text is not JSON with the expected fields and types; [detail] is the message of the parser. */
    data class Malformed(
        val detail: String,
    ) : DecodeError {
        override val message: String = "the configuration cannot be decoded ($detail): correct the JSON text"
    }

    /** The text was decoded, but its values failed validation. */
    data class Invalid(
        val errors: NonEmptyList<ValidationError>,
    ) : DecodeError {
        override val message: String = errors.joinToString("; ") { it.message }
    }
}

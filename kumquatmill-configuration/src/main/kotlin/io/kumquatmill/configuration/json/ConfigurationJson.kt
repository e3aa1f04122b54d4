package io.kumquatmill.configuration.json

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.validation.validate
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val strictJson =
    Json {
        ignoreUnknownKeys = false
        isLenient = false
    }

/** Encodes [configuration] as JSON. */
fun encodeConfiguration(configuration: OperatorConfiguration): String =
    strictJson.encodeToString(OperatorConfiguration.serializer(), configuration)

/** Encodes [document] as the JSON that is stored under [ConfigurationDocument.KEY]. */
fun encodeDocument(document: ConfigurationDocument): String = strictJson.encodeToString(ConfigurationDocument.serializer(), document)

/** Decodes and validates a configuration from the JSON [text]; unknown fields are errors. */
fun decodeConfiguration(text: String): Either<DecodeError, OperatorConfiguration> =
    decode(OperatorConfiguration.serializer(), text)
        .flatMap { configuration -> validate(configuration).mapLeft(DecodeError::Invalid) }

/** Decodes and validates the value of [ConfigurationDocument.KEY]; unknown fields are errors. */
fun decodeDocument(text: String): Either<DecodeError, ConfigurationDocument> =
    decode(ConfigurationDocument.serializer(), text)
        .flatMap { document -> validate(document.configuration).map { document }.mapLeft(DecodeError::Invalid) }

private fun <T> decode(
    serializer: KSerializer<T>,
    text: String,
): Either<DecodeError, T> =
    try {
        strictJson.decodeFromString(serializer, text).right()
    } catch (e: SerializationException) {
        DecodeError
            .Malformed(
                e.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            ).left()
    } catch (e: IllegalArgumentException) {
        DecodeError
            .Malformed(
                e.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            ).left()
    }

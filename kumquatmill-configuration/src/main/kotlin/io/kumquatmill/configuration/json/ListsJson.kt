package io.kumquatmill.configuration.json

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.validation.validate
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val strictJson =
    Json {
        ignoreUnknownKeys = false
        isLenient = false
    }

/** Returns [lists] as JSON text. */
fun encodeLists(lists: OperatorLists): String = strictJson.encodeToString(OperatorLists.serializer(), lists)

/** Returns [document] as JSON text, as it is kept in the key-value service. */
fun encodeDocument(document: ListsDocument): String = strictJson.encodeToString(ListsDocument.serializer(), document)

/** Decodes and validates the operators' lists in the JSON [text]; unknown fields are errors. */
fun decodeLists(text: String): Either<DecodeError, OperatorLists> =
    decode(OperatorLists.serializer(), text)
        .flatMap { lists -> validate(lists).mapLeft(DecodeError::Invalid) }

/** Decodes and validates the value of [ListsDocument.KEY]; unknown fields are errors. */
fun decodeDocument(text: String): Either<DecodeError, ListsDocument> =
    decode(ListsDocument.serializer(), text)
        .flatMap { document -> validate(document.lists).map { document }.mapLeft(DecodeError::Invalid) }

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

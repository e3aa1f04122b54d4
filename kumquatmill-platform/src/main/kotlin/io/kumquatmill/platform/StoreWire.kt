package io.kumquatmill.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlinx.serialization.json.Json

/** Encoding of store calls and their results as JSON over HTTP. */
object StoreWire {
    /** Path that takes a call by POST. */
    const val PATH: String = "/v1/store"

    private const val OK = 200
    private const val BAD_REQUEST = 400
    private const val CONFLICT = 409
    private const val GONE = 410
    private const val UNAVAILABLE = 503
    private const val GATEWAY_TIMEOUT = 504

    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [call]. */
    fun encodeCall(call: StoreCall): String = json.encodeToString(call)

    /** Decodes a call, or returns null if [text] is none. */
    fun decodeCall(text: String): StoreCall? = decodeOrNull { json.decodeFromString<StoreCall>(text) }

    /** Encodes the result of a call. */
    fun encodeResult(result: Either<StoreError, StoreReply>): String =
        result.fold(
            { error -> json.encodeToString(error) },
            { reply -> json.encodeToString(reply) },
        )

    /** Returns the HTTP status that goes with [result]. */
    fun statusOf(result: Either<StoreError, StoreReply>): Int =
        when (result.leftOrNull()) {
            null -> OK
            is StoreError.Conflict -> CONFLICT
            is StoreError.LeaseGone, is StoreError.HistoryGone -> GONE
            is StoreError.Rejected -> BAD_REQUEST
            is StoreError.Unavailable -> UNAVAILABLE
            is StoreError.Unknown -> GATEWAY_TIMEOUT
        }

    /** Decodes the result of a call from an answer; an answer that can't be understood leaves the outcome unknown. */
    fun decodeResult(
        status: Int,
        text: String,
    ): Either<StoreError, StoreReply> =
        if (status == OK) {
            decodeOrNull { json.decodeFromString<StoreReply>(text) }?.right() ?: notUnderstood(status)
        } else {
            decodeOrNull { json.decodeFromString<StoreError>(text) }?.left() ?: notUnderstood(status)
        }

    private fun notUnderstood(status: Int): Either<StoreError, StoreReply> =
        StoreError.Unknown("an answer with status $status that is not of the key-value service").left()

    private fun <T> decodeOrNull(decode: () -> T): T? =
        try {
            decode()
        } catch (_: IllegalArgumentException) {
            null
        }
}

package io.kumquatmill.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlinx.serialization.json.Json

/** JSON codec of store calls and their results, and their mapping to HTTP. */
object StoreCodec {
    /** HTTP path of store calls; the method is POST. */
    const val PATH: String = "/v1/store"

    private const val OK = 200
    private const val BAD_REQUEST = 400
    private const val CONFLICT = 409
    private const val GONE = 410
    private const val UNAVAILABLE = 503
    private const val GATEWAY_TIMEOUT = 504

    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [call] as JSON. */
    fun encodeCall(call: StoreCall): String = json.encodeToString(call)

    /** Decodes a call, or returns null if [text] is not a valid call. */
    fun decodeCall(text: String): StoreCall? = decodeOrNull { json.decodeFromString<StoreCall>(text) }

    /** Encodes the result of a call as JSON. */
    fun encodeResult(result: Either<StoreError, StoreReply>): String =
        result.fold(
            { error -> json.encodeToString(error) },
            { reply -> json.encodeToString(reply) },
        )

    /** Returns the HTTP status of the response that carries [result]. */
    fun statusOf(result: Either<StoreError, StoreReply>): Int =
        when (result.leftOrNull()) {
            null -> OK
            is StoreError.Conflict -> CONFLICT
            is StoreError.LeaseGone, is StoreError.HistoryGone -> GONE
            is StoreError.Rejected -> BAD_REQUEST
            is StoreError.Unavailable -> UNAVAILABLE
            is StoreError.Unknown -> GATEWAY_TIMEOUT
        }

    /** Decodes the result of a call from a response; a response that cannot be decoded is [StoreError.Unknown]. */
    fun decodeResult(
        status: Int,
        text: String,
    ): Either<StoreError, StoreReply> =
        if (status == OK) {
            decodeOrNull { json.decodeFromString<StoreReply>(text) }?.right() ?: unrecognizedResponse(status)
        } else {
            decodeOrNull { json.decodeFromString<StoreError>(text) }?.left() ?: unrecognizedResponse(status)
        }

    private fun unrecognizedResponse(status: Int): Either<StoreError, StoreReply> =
        StoreError.Unknown("the response with status $status is not from the key-value store: check its address").left()

    private fun <T> decodeOrNull(decode: () -> T): T? =
        try {
            decode()
        } catch (_: IllegalArgumentException) {
            null
        }
}

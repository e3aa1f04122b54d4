package io.kumquatmill.gateway.store

import arrow.core.Either
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** Encodes calls to the key-value store as HTTP requests and decodes the responses. */
interface StoreProtocol {
    /** Name of the response header that states the era of the store. */
    val eraHeader: String

    /** Encodes [call] as an HTTP request. */
    fun encode(call: StoreCall): StoreRequest

    /** Decodes the response to [call]; a response that reports a failure or cannot be decoded becomes a [StoreError]. */
    fun decode(
        call: StoreCall,
        status: Int,
        body: ByteArray,
    ): Either<StoreError, StoreReply>
}

package io.kumquatmill.gateway.store

import arrow.core.Either
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** How calls of the key-value service look on the wire. */
interface StoreProtocol {
    /** Returns [call] as an HTTP request. */
    fun encode(call: StoreCall): StoreRequest

    /** Returns what an answer to [call] says. */
    fun decode(
        call: StoreCall,
        status: Int,
        body: ByteArray,
    ): Either<StoreError, StoreReply>
}

package io.kumquatmill.store

import arrow.core.Either

/** Blocking client of the key-value store. */
fun interface StoreClient {
    /** Executes [call] and returns its reply or error. */
    fun execute(call: StoreCall): Either<StoreError, StoreReply>
}

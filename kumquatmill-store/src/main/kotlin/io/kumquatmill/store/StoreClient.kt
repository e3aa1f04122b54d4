package io.kumquatmill.store

import arrow.core.Either

/** Blocking client of the key-value service: executes one call and returns its reply or error. */
fun interface StoreClient {
    fun execute(call: StoreCall): Either<StoreError, StoreReply>
}

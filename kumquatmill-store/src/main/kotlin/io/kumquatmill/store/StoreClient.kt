package io.kumquatmill.store

import arrow.core.Either

/** Client of the key-value store that blocks until the reply or an error is available. */
fun interface StoreClient {
    /** Executes [call] and returns its reply or error. */
    fun execute(call: StoreCall): Either<StoreError, StoreReply>
}

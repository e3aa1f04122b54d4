package io.kumquatmill.gateway.store

import arrow.core.Either
import arrow.core.left
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.gateway.http.EventLoopHttpClient
import io.kumquatmill.gateway.http.HttpCall
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** Calls the key-value service at [address] on the event loop; no call is repeated. */
class EventLoopStoreClient(
    private val client: EventLoopHttpClient,
    private val address: HostAddress,
    private val protocol: StoreProtocol,
) {
    /** Sends [call] and tells [onEnd] its reply or error. */
    fun call(
        call: StoreCall,
        onEnd: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        val request = protocol.encode(call)
        val waitMs = if (call is StoreCall.Watch) call.waitMs else 0
        val httpCall =
            HttpCall(
                address = address,
                method = request.method,
                target = request.target,
                headers = if (request.body.isEmpty()) hostHeader else hostHeader + jsonHeader,
                body = request.body,
                connectTimeoutMs = CONNECT_TIMEOUT_MS,
                timeoutMs = waitMs + CALL_TIMEOUT_MS,
            )
        client.send(httpCall) { end -> onEnd(resultOf(call, end)) }
    }

    private fun resultOf(
        call: StoreCall,
        end: CallResult,
    ): Either<StoreError, StoreReply> =
        when (end) {
            is CallResult.Response -> protocol.decode(call, end.status, end.body)
            is CallResult.NotSent -> StoreError.Unavailable(end.detail).left()
            is CallResult.Incomplete -> StoreError.Unknown(end.detail).left()
        }

    private val hostHeader = listOf("Host" to address.toString())
    private val jsonHeader = listOf("Content-Type" to "application/json")

    private companion object {
        /** Two regions are some tens of milliseconds apart; a connection that takes longer finds the service away. */
        const val CONNECT_TIMEOUT_MS = 800L

        /** The service answers in a few milliseconds; a slow one may take some hundreds. */
        const val CALL_TIMEOUT_MS = 1_500L
    }
}

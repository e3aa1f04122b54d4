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

/**
 * Client of the key-value store at [address] that runs on the event loop. Calls are never retried.
 *
 * @param schedule decides when a call is given up
 * @param onNewEra called before the result of the first call that the store answers in a new era, with the era before and the new one
 */
class EventLoopStoreClient(
    private val httpClient: EventLoopHttpClient,
    private val address: HostAddress,
    private val protocol: StoreProtocol,
    private val schedule: StoreCallSchedule,
    private val onNewEra: (before: Long?, era: Long) -> Unit,
) {
    private val eras = StoreEraTracker()

    /** Whether the next call goes over a connection on which the store has answered before. */
    val isConnected: Boolean
        get() = httpClient.hasIdleConnection(address)

    /** Sends [call] and passes its reply or error to [onResult]. */
    fun call(
        call: StoreCall,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        val request = protocol.encode(call.withNumbers())
        val httpCall =
            HttpCall(
                address = address,
                method = request.method,
                target = request.target,
                headers = if (request.body.isEmpty()) hostHeader else hostHeader + jsonHeader,
                body = request.body,
                connectTimeoutMs = CONNECT_TIMEOUT_MS,
                timeoutMs = schedule.timeoutMs(call),
            )
        httpClient.send(httpCall) { result -> onResult(toStoreResult(call, result)) }
    }

    private fun toStoreResult(
        call: StoreCall,
        result: CallResult,
    ): Either<StoreError, StoreReply> =
        when (result) {
            is CallResult.Response -> decode(call, result)
            is CallResult.NotSent -> StoreError.Unavailable(result.detail).left()
            is CallResult.Incomplete ->
                // Changes that do not fit into one answer are read as a snapshot, which comes in pages.
                if (call is StoreCall.Watch && result.isTooLong) {
                    StoreError.HistoryGone(call.afterRevision).left()
                } else {
                    StoreError.Unknown(result.detail).left()
                }
        }

    private fun decode(
        call: StoreCall,
        response: CallResult.Response,
    ): Either<StoreError, StoreReply> {
        val before = eras.era
        val era =
            eras.onAnswer(response.header(protocol.eraHeader))
                ?: return StoreError.Unknown("the answer is older than the store's return from a copy").left()
        if (before != eras.era) onNewEra(before, era)
        return try {
            protocol.decode(call, response.status, response.body).mapLeft { it.inEra(era) }.map { it.inEra(era) }
        } catch (e: IllegalArgumentException) {
            StoreError.Unknown("invalid answer: ${e.message}").left()
        }
    }

    private val hostHeader = listOf("Host" to address.toString())
    private val jsonHeader = listOf("Content-Type" to "application/json")

    private companion object {
        /** The network delay between two regions is a few tens of milliseconds; if connecting takes longer, the service is unavailable. */
        const val CONNECT_TIMEOUT_MS = 800L
    }
}

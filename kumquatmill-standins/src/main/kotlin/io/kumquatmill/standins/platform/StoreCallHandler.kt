package io.kumquatmill.standins.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.platform.StoreCodec
import io.kumquatmill.standins.http.closeWithoutResponse
import io.kumquatmill.standins.http.neverRespond
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers

private const val MAX_CALL_BYTES = 8 * KeyValueStandin.DEFAULT_MAX_VALUE_BYTES

/** Handles `POST /v1/store`, and simulates the store's injected faults at the connection level. */
internal class StoreCallHandler(
    private val state: PlatformState,
    private val clock: MonotonicClock,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        val body = exchange.inputStream.readNBytes(MAX_CALL_BYTES).decodeToString()
        val call = StoreCodec.decodeCall(body)
        if (call == null) {
            send(exchange, StoreError.Rejected("the body is not a store call").left())
            return
        }
        Thread.sleep(state.withStore { it.faults.delayMs })
        val result = execute(call)
        if (mustWithholdResponse(result)) {
            withholdResponse(exchange)
        } else {
            send(exchange, result)
        }
    }

    private fun execute(call: StoreCall): Either<StoreError, StoreReply> {
        val result = state.withStore { it.execute(clock.nowMs(), call) }
        val reply = result.getOrNull()
        return if (call is StoreCall.Watch && reply is StoreReply.Changes && reply.changes.isEmpty()) {
            awaitChanges(call)
        } else {
            result
        }
    }

    private fun awaitChanges(call: StoreCall.Watch): Either<StoreError, StoreReply> {
        state.awaitStoreCondition(call.waitMs) { store ->
            store.isUnreachable ||
                store.changesAfter(call.prefix, call.afterRevision).isNotEmpty()
        }
        return state.withStore { store ->
            when {
                store.faults.isDown -> StoreError.Unavailable("it went down").left()
                store.faults.isSilent -> StoreError.Unknown("it does not respond").left()
                else -> StoreReply.Changes(store.changesAfter(call.prefix, call.afterRevision), store.revision).right()
            }
        }
    }

    private fun mustWithholdResponse(result: Either<StoreError, StoreReply>): Boolean = result.leftOrNull() is StoreError.Unknown

    private fun withholdResponse(exchange: HttpServerExchange) {
        if (state.withStore { it.faults.isSilent }) {
            exchange.neverRespond()
        } else {
            exchange.closeWithoutResponse()
        }
    }

    private fun send(
        exchange: HttpServerExchange,
        result: Either<StoreError, StoreReply>,
    ) {
        exchange.statusCode = StoreCodec.statusOf(result)
        exchange.responseHeaders.put(Headers.CONTENT_TYPE, "application/json")
        exchange.responseSender.send(StoreCodec.encodeResult(result))
    }
}

private val KeyValueStandin.isUnreachable: Boolean
    get() = faults.isDown || faults.isSilent

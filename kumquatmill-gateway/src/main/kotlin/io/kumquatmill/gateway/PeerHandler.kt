package io.kumquatmill.gateway

import arrow.core.Either
import arrow.core.left
import io.kumquatmill.common.explain.RequestExplanation
import io.kumquatmill.gateway.peer.PeerChangesClient
import io.kumquatmill.gateway.peer.PeerState
import io.kumquatmill.gateway.relay.RelayHeaders
import io.kumquatmill.gateway.store.NoChanges
import io.kumquatmill.gateway.store.PeerChanges
import io.kumquatmill.gateway.store.StateCache
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import kotlinx.serialization.json.Json

/**
 * Answers other hosts and operators, at the listener that callers do not reach: passes requests on, and serves what this host knows.
 *
 * @param changesAfter returns the changes of the store after a revision, or why there are none
 */
internal class PeerHandler(
    private val relayHandler: HttpHandler,
    private val explainHandler: HttpHandler,
    private val cache: StateCache,
    private val changesAfter: (revision: Long) -> Either<NoChanges, PeerChanges>,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        if (exchange.requestHeaders.contains(RelayHeaders.WORKER)) return relayHandler.handleRequest(exchange)
        when (exchange.requestPath) {
            PeerSynchronizer.STATE_PATH -> sendState(exchange)
            PeerChangesClient.PATH -> sendChanges(exchange)
            RequestExplanation.PATH -> explainHandler.handleRequest(exchange)
            else -> exchange.respond(NOT_FOUND)
        }
    }

    private fun sendState(exchange: HttpServerExchange) {
        val state = PeerState(cache.revision, cache.allEntries())
        exchange.respond(OK, Json.encodeToString(PeerState.serializer(), state).toByteArray())
    }

    private fun sendChanges(exchange: HttpServerExchange) {
        val afterRevision = exchange.queryParameters[PeerChangesClient.AFTER_PARAMETER]?.firstOrNull()?.toLongOrNull()
        val answer = afterRevision?.let(changesAfter) ?: NoChanges.LACKING.left()
        answer.fold({ exchange.respond(if (it == NoChanges.LACKING) GONE else UNAVAILABLE) }) {
            exchange.respond(OK, Json.encodeToString(PeerChanges.serializer(), it).toByteArray())
        }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val UNAVAILABLE = 503
    }
}

package io.kumquatmill.gateway.explain

import io.kumquatmill.common.explain.RequestExplanation
import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.respond
import io.kumquatmill.traffic.control.ExplainedRequest
import io.kumquatmill.traffic.control.TrafficController
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.HttpString
import kotlinx.serialization.json.Json

/**
 * Explains where this host would send a request now, without sending it. Must be used on the event loop only.
 *
 * @param hostName name of this host
 */
internal class ExplainHandler(
    private val hostName: String,
    private val controller: TrafficController,
    private val clock: MonotonicClock,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        val host = exchange.parameter(RequestExplanation.HOST_PARAMETER)
        val path = exchange.parameter(RequestExplanation.PATH_PARAMETER)
        if (host == null || path == null) {
            exchange.responseHeaders.put(HttpString(HeaderNames.REASON), "host-or-path-missing")
            return exchange.respond(BAD_REQUEST)
        }
        val explained =
            ExplainedRequest(
                host = host,
                target = path,
                method = exchange.parameter(RequestExplanation.METHOD_PARAMETER) ?: "GET",
                affinityKey = exchange.parameter(RequestExplanation.AFFINITY_PARAMETER),
                workspace = exchange.parameter(RequestExplanation.WORKSPACE_PARAMETER),
            )
        val nowMs = clock.nowMs()
        val explanation = explanationOf(nowMs, hostName, controller.explain(nowMs, explained))
        exchange.respond(OK, Json.encodeToString(RequestExplanation.serializer(), explanation).toByteArray())
    }

    private fun HttpServerExchange.parameter(name: String): String? = queryParameters[name]?.firstOrNull()?.takeIf { it.isNotEmpty() }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
    }
}

package io.kumquatmill.gateway.caller

import io.undertow.server.HttpServerExchange
import io.undertow.util.HeaderMap
import io.undertow.util.Headers

private const val BEARER_PREFIX = "Bearer "

/**
 * Head of a caller's request, as the server or [PipelinedHeadParser] has read it.
 *
 * @property target path and query exactly as the caller sent them
 * @property path path exactly as the caller sent it, without scheme and authority of a target in absolute form
 */
internal class ReceivedHead(
    val method: String,
    val target: String,
    val path: String,
    val headers: HeaderMap,
) {
    /** Value of the Host header, or empty. */
    val host: String
        get() = headers.getFirst(Headers.HOST).orEmpty()

    /** Key of the caller from its bearer token, or null if there is none. */
    val bearerKey: String?
        get() {
            val value = headers.getFirst(Headers.AUTHORIZATION) ?: return null
            return if (value.startsWith(BEARER_PREFIX, ignoreCase = true)) value.substring(BEARER_PREFIX.length).trim() else null
        }

    /** Whether the method is GET or HEAD. Requests of these methods may run at the same time as those before them on the connection. */
    val isGetOrHead: Boolean
        get() = method == "GET" || method == "HEAD"

    /** Returns the distinct values of header [name] that are not blank. */
    fun distinctValues(name: String): List<String> {
        val values: Collection<String> = headers.get(name) ?: return emptyList()
        return values.filter { it.isNotBlank() }.distinct()
    }

    /** Returns whether [other] has the same method, target and headers, whose names are compared without regard to case. */
    fun isSameAs(other: ReceivedHead): Boolean =
        method == other.method &&
            target == other.target &&
            path == other.path &&
            headers.size() == other.headers.size() &&
            headers.all { values -> other.headers.get(values.headerName)?.toList() == values.toList() }

    companion object {
        /** Returns the head of the request of [exchange]. */
        fun of(exchange: HttpServerExchange) =
            ReceivedHead(exchange.requestMethod.toString(), exchange.rawTarget, exchange.rawPath, exchange.requestHeaders)
    }
}

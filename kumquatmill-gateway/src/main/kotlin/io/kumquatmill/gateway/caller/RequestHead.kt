package io.kumquatmill.gateway.caller

import io.undertow.server.HttpServerExchange
import io.undertow.util.HeaderMap
import io.undertow.util.Headers

private const val BEARER = "Bearer "

/** Headers that concern one connection only, in lower case. */
val hopByHopHeaders: Set<String> =
    setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )

/** Returns path and query as the caller sent them. */
internal val HttpServerExchange.rawTarget: String
    get() = if (queryString.isEmpty()) rawPath else "$rawPath?$queryString"

/** Returns the path as the caller sent it, without the authority of an absolute target. */
internal val HttpServerExchange.rawPath: String
    get() =
        when {
            !isHostIncludedInRequestURI -> requestURI
            else -> "/" + requestURI.substringAfter("://").substringAfter('/', "")
        }

/** Returns the key that the caller shows, or null. */
internal val HttpServerExchange.bearerKey: String?
    get() {
        val value = requestHeaders.getFirst(Headers.AUTHORIZATION) ?: return null
        return if (value.startsWith(BEARER, ignoreCase = true)) value.substring(BEARER.length).trim() else null
    }

/** Returns whether two readers could disagree on where the request ends. */
internal val HttpServerExchange.hasUnclearLength: Boolean
    get() {
        val lengths = requestHeaders.get(Headers.CONTENT_LENGTH)
        val encodings = requestHeaders.get(Headers.TRANSFER_ENCODING)
        val hasBoth = lengths != null && encodings != null
        val isLengthDoubled = lengths != null && lengths.size > 1
        val isEncodingUnknown = encodings != null && (encodings.size > 1 || !encodings.first().equals("chunked", ignoreCase = true))
        return hasBoth || isLengthDoubled || isEncodingUnknown
    }

/** Returns [headers] without those of one connection and without [dropped], names in lower case. */
internal fun endToEndHeaders(
    headers: HeaderMap,
    dropped: Set<String>,
): List<Pair<String, String>> {
    val listed =
        headers
            .get(Headers.CONNECTION)
            .orEmpty()
            .flatMap { value -> value.split(',').map { it.trim().lowercase() } }
            .toSet()
    val kept = ArrayList<Pair<String, String>>(headers.size())
    headers.forEach { values ->
        val name = values.headerName.toString()
        val lowerName = name.lowercase()
        if (lowerName !in hopByHopHeaders && lowerName !in listed && lowerName !in dropped) values.forEach { kept += name to it }
    }
    return kept
}

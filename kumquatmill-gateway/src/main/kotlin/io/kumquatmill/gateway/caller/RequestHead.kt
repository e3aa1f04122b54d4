package io.kumquatmill.gateway.caller

import io.kumquatmill.common.http.RequestHeadRules
import io.undertow.server.HttpServerExchange
import io.undertow.util.HeaderMap
import io.undertow.util.Headers

/** Headers that apply to a single connection and are not forwarded, in lower case. */
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

/** Path and query exactly as the caller sent them. */
internal val HttpServerExchange.rawTarget: String
    get() = if (queryString.isEmpty()) rawPath else "$rawPath?$queryString"

/** Path exactly as the caller sent it, without scheme and authority of a request target in absolute form. */
internal val HttpServerExchange.rawPath: String
    get() =
        when {
            !isHostIncludedInRequestURI -> requestURI
            else -> "/" + requestURI.substringAfter("://").substringAfter('/', "")
        }

/** Whether two HTTP parsers could disagree on where the request ends, which would allow request smuggling. */
internal val HttpServerExchange.hasAmbiguousLength: Boolean
    get() {
        val lengths = requestHeaders.get(Headers.CONTENT_LENGTH)
        val encodings = requestHeaders.get(Headers.TRANSFER_ENCODING)
        val hasBoth = lengths != null && encodings != null
        val isLengthRepeated = lengths != null && lengths.size > 1
        val isEncodingUnknown = encodings != null && (encodings.size > 1 || !encodings.first().equals("chunked", ignoreCase = true))
        return hasBoth || isLengthRepeated || isEncodingUnknown
    }

/** Why the head of the request may be made of several requests, or null. Undertow takes a line without a colon for a header. */
val HttpServerExchange.headFlaw: String?
    get() =
        requestHeaders.firstNotNullOfOrNull { values ->
            values.firstNotNullOfOrNull { RequestHeadRules.headerFlaw(values.headerName.toString(), it) }
        }

/** Returns [headers] without hop-by-hop headers and without [dropped], whose names are in lower case. */
internal fun endToEndHeaders(
    headers: HeaderMap,
    dropped: Set<String>,
): List<Pair<String, String>> {
    val connectionOptions =
        headers
            .get(Headers.CONNECTION)
            .orEmpty()
            .flatMap { value -> value.split(',').map { it.trim().lowercase() } }
            .toSet()
    val kept = ArrayList<Pair<String, String>>(headers.size())
    headers.forEach { values ->
        val name = values.headerName.toString()
        val lowerName = name.lowercase()
        if (lowerName !in hopByHopHeaders && lowerName !in connectionOptions && lowerName !in dropped) values.forEach { kept += name to it }
    }
    return kept
}

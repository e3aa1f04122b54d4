package io.kumquatmill.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.gateway.caller.hopByHopHeaders
import org.http4k.core.Headers
import org.http4k.core.Method
import org.http4k.core.Request
import java.net.URLDecoder

private const val OWN_PREFIX = "kumquatmill-"
private val droppedHeaders = hopByHopHeaders + "host"

private val unclearParts = listOf("\\", "%2f", "%5c", "%00", "%25")
private val dotSegments = setOf(".", "..")

/** The part of a caller's request that workers may see; neither the key nor headers of one connection are in it. */
internal class UpstreamRequest(
    val method: Method,
    val pathAndQuery: String,
    val headers: Headers,
    val body: ByteArray,
)

/** Returns what workers may see of [request], or why it can't be forwarded without its [key]. */
internal fun upstreamRequest(
    request: Request,
    key: String?,
    body: ByteArray,
): Either<String, UpstreamRequest> {
    val path = request.uri.path.ifEmpty { "/" }
    val fault = faultOf(path, body, key)
    if (fault != null) return fault.left()
    val query = withoutKey(request.uri.query, key)
    val pathAndQuery = if (query.isEmpty()) path else "$path?$query"
    return UpstreamRequest(request.method, pathAndQuery, upstreamHeaders(request.headers, key), body).right()
}

private fun faultOf(
    path: String,
    body: ByteArray,
    key: String?,
): String? =
    when {
        !isPlainPath(path) -> "the path holds dot segments, backslashes or encoded slashes: send the plain path"
        carries(path, key) -> "the path holds the key: send it in the Authorization header only"
        key != null && body.holds(key) -> "the body holds the key: send it in the Authorization header only"
        else -> null
    }

/** Returns whether the route that [path] matches can't change on its way: libraries resolve dot segments. */
private fun isPlainPath(path: String): Boolean {
    val lowerPath = path.lowercase()
    val hasOtherSlashes = unclearParts.any { it in lowerPath }
    return !hasOtherSlashes && decoded(path).split('/').none { it.substringBefore(';') in dotSegments }
}

private fun upstreamHeaders(
    headers: Headers,
    key: String?,
): Headers {
    val listedByConnection =
        headers
            .filter { (name, _) -> name.equals("connection", ignoreCase = true) }
            .flatMap { (_, value) -> value.orEmpty().split(',').map { it.trim().lowercase() } }
    return headers.filterNot { (name, value) ->
        val lowerName = name.lowercase()
        lowerName in droppedHeaders ||
            lowerName in listedByConnection ||
            lowerName.startsWith(OWN_PREFIX) ||
            lowerName == HeaderNames.AUTHORIZATION.lowercase() ||
            carries(name, key) ||
            carries(value.orEmpty(), key)
    }
}

private fun withoutKey(
    query: String,
    key: String?,
): String = query.split('&').filterNot { it.isEmpty() || carries(it, key) }.joinToString("&")

private fun carries(
    text: String,
    key: String?,
): Boolean = key != null && (key in text || key in decoded(text))

private fun decoded(text: String): String = Either.catch { URLDecoder.decode(text, Charsets.UTF_8) }.getOrNull() ?: text

private fun ByteArray.holds(key: String): Boolean =
    String(this, Charsets.ISO_8859_1).contains(String(key.toByteArray(), Charsets.ISO_8859_1))

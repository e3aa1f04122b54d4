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

private const val INTERNAL_HEADER_PREFIX = "kumquatmill-"
private val strippedHeaders = hopByHopHeaders + "host"

private val ambiguousSequences = listOf("\\", "%2f", "%5c", "%00", "%25")
private val dotSegments = setOf(".", "..")

/** The part of a caller's request that is forwarded to a worker, without the caller's key and hop-by-hop headers. */
internal class UpstreamRequest(
    val method: Method,
    val pathAndQuery: String,
    val headers: Headers,
    val body: ByteArray,
)

/** Returns the part of [request] to forward, without [key], or an error message if its path or body is not acceptable. */
internal fun upstreamRequest(
    request: Request,
    key: String?,
    body: ByteArray,
): Either<String, UpstreamRequest> {
    val path = request.uri.path.ifEmpty { "/" }
    val error = validationError(path, body, key)
    if (error != null) return error.left()
    val query = removeKey(request.uri.query, key)
    val pathAndQuery = if (query.isEmpty()) path else "$path?$query"
    return UpstreamRequest(request.method, pathAndQuery, upstreamHeaders(request.headers, key), body).right()
}

private fun validationError(
    path: String,
    body: ByteArray,
    key: String?,
): String? =
    when {
        !isUnambiguousPath(path) -> "the path holds dot segments, backslashes or encoded slashes: send the plain path"
        containsKey(path, key) -> "the path holds the key: send it in the Authorization header only"
        key != null && body.containsKey(key) -> "the body holds the key: send it in the Authorization header only"
        else -> null
    }

/** Returns whether [path] matches the same route at every hop. HTTP libraries resolve dot segments, which can change the route. */
private fun isUnambiguousPath(path: String): Boolean {
    val lowerPath = path.lowercase()
    val hasAmbiguousSequence = ambiguousSequences.any { it in lowerPath }
    return !hasAmbiguousSequence && urlDecoded(path).split('/').none { it.substringBefore(';') in dotSegments }
}

private fun upstreamHeaders(
    headers: Headers,
    key: String?,
): Headers {
    val connectionOptions =
        headers
            .filter { (name, _) -> name.equals("connection", ignoreCase = true) }
            .flatMap { (_, value) -> value.orEmpty().split(',').map { it.trim().lowercase() } }
    return headers.filterNot { (name, value) ->
        val lowerName = name.lowercase()
        lowerName in strippedHeaders ||
            lowerName in connectionOptions ||
            lowerName.startsWith(INTERNAL_HEADER_PREFIX) ||
            lowerName == HeaderNames.AUTHORIZATION.lowercase() ||
            containsKey(name, key) ||
            containsKey(value.orEmpty(), key)
    }
}

private fun removeKey(
    query: String,
    key: String?,
): String = query.split('&').filterNot { it.isEmpty() || containsKey(it, key) }.joinToString("&")

private fun containsKey(
    text: String,
    key: String?,
): Boolean = key != null && (key in text || key in urlDecoded(text))

private fun urlDecoded(text: String): String = Either.catch { URLDecoder.decode(text, Charsets.UTF_8) }.getOrNull() ?: text

private fun ByteArray.containsKey(key: String): Boolean =
    String(this, Charsets.ISO_8859_1).contains(String(key.toByteArray(), Charsets.ISO_8859_1))

package io.kumquatmill.daemon.forward

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.outcome.wireName
import io.kumquatmill.daemon.caller.callerResponseHeaders
import io.kumquatmill.node.event.AttemptResult
import okio.Buffer
import okio.IOException
import org.http4k.core.MemoryBody
import org.http4k.core.Response
import org.http4k.core.Status

private const val MS_PER_S = 1_000L
private const val DEFAULT_RETRY_AFTER_MS = 1_000L
private const val SERVICE_UNAVAILABLE = 503
private const val NO_CONTENT = 204
private const val NOT_MODIFIED = 304
private const val READ_CHUNK_BYTES = 64L * 1024

/**
 * Reads a worker's [response] completely and checks that it belongs to [request] and was not truncated.
 *
 * The result is unknown if a check fails or the body is larger than [maxResponseBytes]. Throws [IOException] if the connection
 * breaks.
 */
internal fun readResponse(
    response: okhttp3.Response,
    request: RequestId,
    maxResponseBytes: Long,
): CompletedAttempt {
    val namedIds = response.headers(HeaderNames.REQUEST_ID)
    val otherId = namedIds.firstOrNull { it != request.value }
    return when {
        namedIds.isEmpty() || otherId != null -> unknownResult("the answer belongs to request ${otherId ?: "without id"}")
        response.isShed() -> CompletedAttempt(AttemptResult.Shed(response.retryAfterMs(), response.header(HeaderNames.DRAINING) == "true"))
        !response.hasVerifiableLength() -> unknownResult("the answer has neither Content-Length nor chunks, so its end can't be checked")
        else -> readCompleteResponse(response, maxResponseBytes)
    }
}

private fun readCompleteResponse(
    response: okhttp3.Response,
    maxResponseBytes: Long,
): CompletedAttempt {
    val body = readBody(response, maxResponseBytes) ?: return unknownResult("the answer is longer than $maxResponseBytes bytes")
    return CompletedAttempt(AttemptResult.Answered(response.code, body.size.toLong()), toCallerResponse(response, body))
}

private fun unknownResult(detail: String) = CompletedAttempt(AttemptResult.Unknown(detail))

private fun okhttp3.Response.isShed(): Boolean = code == SERVICE_UNAVAILABLE && header(HeaderNames.OUTCOME) == notRunWireName

private val notRunWireName = Outcome.NotRun(RefusalReason.NO_CAPACITY, retryAfterMs = 0).wireName

private fun okhttp3.Response.retryAfterMs(): Long =
    header(AttemptInterceptor.RENAMED_RETRY_AFTER)?.toLongOrNull()?.coerceIn(0, Long.MAX_VALUE / MS_PER_S)?.times(MS_PER_S)
        ?: DEFAULT_RETRY_AFTER_MS

/** Returns whether a truncated body of this response can be detected. */
private fun okhttp3.Response.hasVerifiableLength(): Boolean =
    request.method == "HEAD" ||
        code == NO_CONTENT ||
        code == NOT_MODIFIED ||
        header("Content-Length") != null ||
        header("Transfer-Encoding").equals("chunked", ignoreCase = true)

private fun readBody(
    response: okhttp3.Response,
    maxBytes: Long,
): ByteArray? {
    val source = response.body.source()
    val buffer = Buffer()
    while (source.read(buffer, READ_CHUNK_BYTES) != -1L) {
        if (buffer.size > maxBytes) return null
    }
    val expectedBytes = response.header("Content-Length")?.toLongOrNull()
    val hasBody = response.request.method != "HEAD" && response.code != NO_CONTENT && response.code != NOT_MODIFIED
    if (hasBody && expectedBytes != null && expectedBytes != buffer.size) throw IOException("the answer was cut")
    return buffer.readByteArray()
}

private fun toCallerResponse(
    response: okhttp3.Response,
    body: ByteArray,
): Response {
    val headers = response.headers.map { (name, value) -> name to value }
    val callerResponse =
        Response(Status(response.code, response.message))
            .headers(callerResponseHeaders(headers))
            .body(MemoryBody(body))
    val retryAfter = response.header(AttemptInterceptor.RENAMED_RETRY_AFTER) ?: return callerResponse
    return callerResponse.header(HeaderNames.RETRY_AFTER, retryAfter)
}

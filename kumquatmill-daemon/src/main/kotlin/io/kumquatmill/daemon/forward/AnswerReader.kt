package io.kumquatmill.daemon.forward

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.outcome.wireName
import io.kumquatmill.daemon.caller.callerHeaders
import io.kumquatmill.node.event.AttemptResult
import okio.Buffer
import okio.IOException
import org.http4k.core.MemoryBody
import org.http4k.core.Response
import org.http4k.core.Status

private const val MS_PER_S = 1_000L
private const val DEFAULT_RETRY_AFTER_MS = 1_000L
private const val UNAVAILABLE = 503
private const val NO_CONTENT = 204
private const val NOT_MODIFIED = 304
private const val READ_STEP_BYTES = 64L * 1024

/** Reads a worker's answer to [request] to its end and checks that it is whole and belongs to the request. */
internal fun readAnswer(
    response: okhttp3.Response,
    request: RequestId,
    maxAnswerBytes: Long,
): AttemptEnd {
    val echoed = response.header(HeaderNames.REQUEST_ID)
    return when {
        echoed != request.value -> unknown("the answer belongs to request ${echoed ?: "without id"}")
        response.isShed() -> AttemptEnd(AttemptResult.Shed(response.retryAfterMs(), response.header(HeaderNames.DRAINING) == "true"))
        !response.hasKnownEnd() -> unknown("the answer has neither Content-Length nor chunks, so its end can't be checked")
        else -> readWhole(response, maxAnswerBytes)
    }
}

private fun readWhole(
    response: okhttp3.Response,
    maxAnswerBytes: Long,
): AttemptEnd {
    val body = readBody(response, maxAnswerBytes) ?: return unknown("the answer is longer than $maxAnswerBytes bytes")
    return AttemptEnd(AttemptResult.Answered(response.code, body.size.toLong()), callerResponse(response, body))
}

private fun unknown(detail: String) = AttemptEnd(AttemptResult.Unknown(detail))

private fun okhttp3.Response.isShed(): Boolean = code == UNAVAILABLE && header(HeaderNames.OUTCOME) == notRunName

private val notRunName = Outcome.NotRun(RefusalReason.NO_CAPACITY, retryAfterMs = 0).wireName

private fun okhttp3.Response.retryAfterMs(): Long =
    header(AttemptInterceptor.RENAMED_RETRY_AFTER)?.toLongOrNull()?.coerceIn(0, Long.MAX_VALUE / MS_PER_S)?.times(MS_PER_S)
        ?: DEFAULT_RETRY_AFTER_MS

private fun okhttp3.Response.hasKnownEnd(): Boolean =
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
    while (source.read(buffer, READ_STEP_BYTES) != -1L) {
        if (buffer.size > maxBytes) return null
    }
    val expectedBytes = response.header("Content-Length")?.toLongOrNull()
    val hasBody = response.request.method != "HEAD" && response.code != NO_CONTENT && response.code != NOT_MODIFIED
    if (hasBody && expectedBytes != null && expectedBytes != buffer.size) throw IOException("the answer was cut")
    return buffer.readByteArray()
}

private fun callerResponse(
    response: okhttp3.Response,
    body: ByteArray,
): Response {
    val headers = response.headers.map { (name, value) -> name to value }
    val answer =
        Response(Status(response.code, response.message))
            .headers(callerHeaders(headers))
            .body(MemoryBody(body))
    val retryAfter = response.header(AttemptInterceptor.RENAMED_RETRY_AFTER) ?: return answer
    return answer.header(HeaderNames.RETRY_AFTER, retryAfter)
}

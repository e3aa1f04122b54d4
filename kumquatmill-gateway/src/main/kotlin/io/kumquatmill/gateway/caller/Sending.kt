package io.kumquatmill.gateway.caller

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import java.nio.ByteBuffer
import java.util.Locale

private const val MILLIS_PER_SECOND = 1_000.0

/** Sends [body] as the whole answer. */
internal fun HttpServerExchange.sendBody(body: ByteArray) {
    responseContentLength = body.size.toLong()
    responseSender.send(ByteBuffer.wrap(body))
}

/** Sends an [answer] of the host itself to request [requestId]. */
internal fun HttpServerExchange.send(
    answer: LocalResponse,
    requestId: String?,
) {
    statusCode = answer.status
    responseHeaders.put(Headers.CONTENT_TYPE, "application/json")
    answer.retryAfterMs?.let { responseHeaders.put(Headers.RETRY_AFTER, "%.3f".format(Locale.ROOT, it / MILLIS_PER_SECOND)) }
    sendBody(answer.body(requestId))
}

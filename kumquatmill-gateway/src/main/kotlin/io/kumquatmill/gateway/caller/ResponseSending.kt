package io.kumquatmill.gateway.caller

import io.kumquatmill.gateway.response.sendBody
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import java.util.Locale

private const val MILLIS_PER_SECOND = 1_000.0

/** Sends [response] as the response to request [requestId]. */
internal fun HttpServerExchange.send(
    response: LocalResponse,
    requestId: String?,
) {
    statusCode = response.status
    responseHeaders.put(Headers.CONTENT_TYPE, "application/json")
    response.retryAfterMs?.let { responseHeaders.put(Headers.RETRY_AFTER, "%.3f".format(Locale.ROOT, it / MILLIS_PER_SECOND)) }
    sendBody(response.body(requestId))
}

package io.kumquatmill.gateway

import io.kumquatmill.gateway.response.sendBody
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers

private val emptyObject = "{}".toByteArray()

/** Sends a complete response with [status] and [body]. */
internal fun HttpServerExchange.respond(
    status: Int,
    body: ByteArray = emptyObject,
    contentType: String = "application/json",
) {
    statusCode = status
    responseHeaders.put(Headers.CONTENT_TYPE, contentType)
    sendBody(body)
}

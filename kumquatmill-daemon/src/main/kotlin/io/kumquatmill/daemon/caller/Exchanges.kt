package io.kumquatmill.daemon.caller

import io.kumquatmill.gateway.response.BodyWriter
import io.undertow.server.HttpServerExchange
import io.undertow.util.HttpString
import org.http4k.core.Headers
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.nio.ByteBuffer
import io.undertow.util.Headers as UndertowHeaders

private val methodsByName = Method.entries.associateBy { it.name }

/** Returns the request without its body, or null if http4k does not support its method. */
internal fun HttpServerExchange.toHttp4kRequest(): Request? {
    val method = methodsByName[requestMethod.toString()] ?: return null
    val target = if (queryString.isEmpty()) requestURI else "$requestURI?$queryString"
    return Request(method, toOriginForm(target)).headers(headersOf(this))
}

/** Sends the complete [response]. Must be called on the connection's I/O thread. */
internal fun HttpServerExchange.send(response: Response) {
    statusCode = response.status.code
    response.headers.forEach { (name, value) -> responseHeaders.add(HttpString(name), value.orEmpty()) }
    val body =
        response.body.payload
            .duplicate()
            .toBytes()
    if (responseContentLength < 0 &&
        !responseHeaders.contains(UndertowHeaders.TRANSFER_ENCODING)
    ) {
        responseContentLength = body.size.toLong()
    }
    BodyWriter(this, body) { }.start()
}

/** Removes scheme and authority from a request target in absolute form. */
private fun toOriginForm(target: String): String =
    if (target.startsWith("/")) {
        target
    } else {
        "/" +
            target.substringAfter("://").substringAfter('/', "")
    }

private fun headersOf(exchange: HttpServerExchange): Headers =
    exchange.requestHeaders.flatMap { values -> values.map { values.headerName.toString() to it } }

private fun ByteBuffer.toBytes(): ByteArray = ByteArray(remaining()).also { get(it) }

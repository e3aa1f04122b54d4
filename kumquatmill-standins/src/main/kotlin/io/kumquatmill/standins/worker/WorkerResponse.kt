package io.kumquatmill.standins.worker

import io.kumquatmill.common.http.HeaderNames
import io.undertow.server.HttpServerExchange
import io.undertow.util.HttpString
import io.undertow.util.StatusCodes
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val RETRY_AFTER_S = "1"
private val requestIdHeader = HttpString(HeaderNames.REQUEST_ID)

/** Body of a worker's response, which echoes the properties of the request; [workspace] is null if its header is absent. */
@Serializable
@SerialName("io.kumquatmill.standins.worker.WorkerAnswer")
data class WorkerResponse(
    val requestId: String,
    val worker: String,
    val workspace: String?,
    val method: String,
    val path: String,
    val bodyBytes: Int,
    val padding: String = "",
)

/** Sends a 503 response that reports that the request did not run. */
internal fun HttpServerExchange.sendNotRun(
    requestId: String,
    isDraining: Boolean,
) {
    setErrorResponse(requestId, StatusCodes.SERVICE_UNAVAILABLE, outcome = "not-run")
    if (isDraining) {
        responseHeaders.put(HttpString(HeaderNames.DRAINING), "true")
    }
    responseHeaders.put(HttpString(HeaderNames.RETRY_AFTER), RETRY_AFTER_S)
}

/** Sends a 504 response with an unknown outcome: the deadline passed after the request had started. */
internal fun HttpServerExchange.sendTimedOut(requestId: String) {
    setErrorResponse(requestId, StatusCodes.GATEWAY_TIME_OUT, outcome = "unknown")
}

/** Sends the JSON [body] as the response to the request [requestId]. */
internal fun HttpServerExchange.sendResponse(
    requestId: String,
    body: ByteArray,
) {
    setResponseHeaders(requestId, body)
    outputStream.write(body)
}

/** Sends only the first half of [body] and closes the connection, to simulate a truncated response. */
internal fun HttpServerExchange.sendTruncatedResponse(
    requestId: String,
    body: ByteArray,
) {
    setResponseHeaders(requestId, body)
    outputStream.write(body, 0, body.size / 2)
    outputStream.flush()
    connection.close()
}

private fun HttpServerExchange.setResponseHeaders(
    requestId: String,
    body: ByteArray,
) {
    responseHeaders.put(requestIdHeader, requestId)
    responseHeaders.put(HttpString("Content-Type"), "application/json")
    responseContentLength = body.size.toLong()
}

private fun HttpServerExchange.setErrorResponse(
    requestId: String,
    status: Int,
    outcome: String,
) {
    statusCode = status
    responseHeaders.put(requestIdHeader, requestId)
    responseHeaders.put(HttpString(HeaderNames.OUTCOME), outcome)
}

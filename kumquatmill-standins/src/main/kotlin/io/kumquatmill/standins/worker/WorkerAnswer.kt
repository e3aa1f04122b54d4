package io.kumquatmill.standins.worker

import io.kumquatmill.common.http.HeaderNames
import io.undertow.server.HttpServerExchange
import io.undertow.util.HttpString
import io.undertow.util.StatusCodes
import kotlinx.serialization.Serializable

private const val RETRY_AFTER_S = "1"
private val requestIdHeader = HttpString(HeaderNames.REQUEST_ID)

/** Body of a worker's answer, which repeats what the worker saw of the request. */
@Serializable
data class WorkerAnswer(
    val requestId: String,
    val worker: String,
    val workspace: String?,
    val method: String,
    val path: String,
    val bodyBytes: Int,
    val padding: String = "",
)

/** Answers that the request did not run. */
internal fun HttpServerExchange.refuseNotRun(
    requestId: String,
    isDraining: Boolean,
) {
    refuse(requestId, StatusCodes.SERVICE_UNAVAILABLE, outcome = "not-run")
    if (isDraining) {
        responseHeaders.put(HttpString(HeaderNames.DRAINING), "true")
    }
    responseHeaders.put(HttpString(HeaderNames.RETRY_AFTER), RETRY_AFTER_S)
}

/** Answers that the request was given up at its deadline, after it had started. */
internal fun HttpServerExchange.refuseTimedOut(requestId: String) {
    refuse(requestId, StatusCodes.GATEWAY_TIME_OUT, outcome = "unknown")
}

/** Answers with [body] as JSON of the request [requestId]. */
internal fun HttpServerExchange.answer(
    requestId: String,
    body: ByteArray,
) {
    startAnswer(requestId, body)
    outputStream.write(body)
}

/** Sends only the first half of [body] and closes the connection. */
internal fun HttpServerExchange.cutAnswer(
    requestId: String,
    body: ByteArray,
) {
    startAnswer(requestId, body)
    outputStream.write(body, 0, body.size / 2)
    outputStream.flush()
    connection.close()
}

private fun HttpServerExchange.startAnswer(
    requestId: String,
    body: ByteArray,
) {
    responseHeaders.put(requestIdHeader, requestId)
    responseHeaders.put(HttpString("Content-Type"), "application/json")
    responseContentLength = body.size.toLong()
}

private fun HttpServerExchange.refuse(
    requestId: String,
    status: Int,
    outcome: String,
) {
    statusCode = status
    responseHeaders.put(requestIdHeader, requestId)
    responseHeaders.put(HttpString(HeaderNames.OUTCOME), outcome)
}

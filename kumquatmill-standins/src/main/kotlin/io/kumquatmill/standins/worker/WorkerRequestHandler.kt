package io.kumquatmill.standins.worker

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.standins.http.closeWithoutResponse
import io.kumquatmill.standins.http.standinJson
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

private const val MAX_BODY_BYTES = 16 * 1_048_576
private const val POLL_INTERVAL_MS = 5L

/** Executes requests on the slots of a worker; each request blocks a thread for its service time. */
internal class WorkerRequestHandler(
    private val state: WorkerState,
    private val clock: MonotonicClock,
) : HttpHandler {
    private val previousResponse = AtomicReference<WorkerResponse>()

    override fun handleRequest(exchange: HttpServerExchange) {
        val receivedAtMs = clock.nowMs()
        recordHeaders(exchange)
        val requestId = exchange.header(HeaderNames.REQUEST_ID)
        val arrivalIndex = state.runLog.recordArrival(exchange.toArrival(requestId))
        val bodyBytes = readBody(exchange)
        if (bodyBytes == null) {
            state.runLog.updateStatus(arrivalIndex, RunStatus.INCOMPLETE)
            return
        }
        val deadlineMs = exchange.header(HeaderNames.DEADLINE_MS)?.toLongOrNull()
        val deadlineAtMs = deadlineMs?.let { receivedAtMs + it } ?: Long.MAX_VALUE
        val status = runIfSlotFree(exchange, deadlineAtMs)
        state.runLog.updateStatus(arrivalIndex, status)
        respond(exchange, status, exchange.toResponse(requestId, bodyBytes))
    }

    /** Returns the size of the body in bytes, or null if the connection fails before the body is complete. */
    private fun readBody(exchange: HttpServerExchange): Int? =
        try {
            exchange.inputStream.readNBytes(MAX_BODY_BYTES).size
        } catch (_: IOException) {
            null
        }

    private fun runIfSlotFree(
        exchange: HttpServerExchange,
        deadlineAtMs: Long,
    ): RunStatus =
        if (clock.nowMs() >= deadlineAtMs || !state.tryAcquireSlot()) {
            RunStatus.NOT_RUN
        } else {
            runAndReleaseSlot(exchange, deadlineAtMs)
        }

    private fun runAndReleaseSlot(
        exchange: HttpServerExchange,
        deadlineAtMs: Long,
    ): RunStatus =
        try {
            awaitCompletion(exchange, deadlineAtMs)
        } finally {
            state.releaseSlot()
        }

    private fun awaitCompletion(
        exchange: HttpServerExchange,
        deadlineAtMs: Long,
    ): RunStatus {
        val completesAtMs = clock.nowMs() + state.nextServiceMs().toLong()
        while (true) {
            val nowMs = clock.nowMs()
            when {
                nowMs >= completesAtMs -> return RunStatus.DONE
                nowMs >= deadlineAtMs -> return RunStatus.TIMED_OUT
                exchange.isClosedByClient() -> return RunStatus.CANCELLED
            }
            Thread.sleep(minOf(POLL_INTERVAL_MS, completesAtMs - nowMs))
        }
    }

    private fun respond(
        exchange: HttpServerExchange,
        status: RunStatus,
        response: WorkerResponse,
    ) {
        when (status) {
            RunStatus.NOT_RUN -> exchange.sendNotRun(response.requestId, state.isDraining)
            RunStatus.TIMED_OUT -> exchange.sendTimedOut(response.requestId)
            RunStatus.CANCELLED -> exchange.closeWithoutResponse()
            else -> respondWithFaults(exchange, response)
        }
    }

    private fun respondWithFaults(
        exchange: HttpServerExchange,
        response: WorkerResponse,
    ) {
        delayResponse(exchange, state.takeNextResponseDelayMs())
        val previous = previousResponse.getAndSet(response)
        when (state.takeNextResponseFault()) {
            ResponseFault.LOST -> exchange.closeWithoutResponse()
            ResponseFault.TRUNCATED -> exchange.sendTruncatedResponse(response.requestId, encode(response))
            ResponseFault.MISMATCHED -> send(exchange, previous ?: response.copy(requestId = "other-${response.requestId}"))
            null -> send(exchange, response)
        }
    }

    private fun delayResponse(
        exchange: HttpServerExchange,
        delayMs: Long,
    ) {
        val sendAtMs = clock.nowMs() + delayMs
        while (clock.nowMs() < sendAtMs && !exchange.isClosedByClient()) {
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private fun send(
        exchange: HttpServerExchange,
        response: WorkerResponse,
    ) = exchange.sendResponse(response.requestId, encode(response))

    private fun encode(response: WorkerResponse): ByteArray = standinJson.encodeToString(response).toByteArray()

    private fun recordHeaders(exchange: HttpServerExchange) {
        state.headerLog.record(":target", "${exchange.requestURI}?${exchange.queryString}")
        exchange.requestHeaders.forEach { header ->
            header.forEach { value -> state.headerLog.record(header.headerName.toString(), value) }
        }
    }

    private fun HttpServerExchange.toArrival(requestId: String?): Arrival =
        Arrival(
            requestId = requestId.orEmpty(),
            workspace = header(HeaderNames.WORKSPACE),
            idempotencyKey = header(HeaderNames.IDEMPOTENCY_KEY),
            worker = state.settings.name,
            method = requestMethod.toString(),
            path = requestPath,
            arrivedAtUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime()),
            status = RunStatus.RUNNING,
        )

    private fun HttpServerExchange.toResponse(
        requestId: String?,
        bodyBytes: Int,
    ): WorkerResponse =
        WorkerResponse(
            requestId = requestId.orEmpty(),
            worker = state.settings.name,
            workspace = header(HeaderNames.WORKSPACE),
            method = requestMethod.toString(),
            path = requestPath,
            bodyBytes = bodyBytes,
            padding = "x".repeat(state.settings.responsePaddingBytes),
        )
}

private fun HttpServerExchange.header(name: String): String? = requestHeaders.getFirst(name)

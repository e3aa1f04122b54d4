package io.kumquatmill.standins.worker

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.standins.http.closeWithoutAnswer
import io.kumquatmill.standins.http.standinJson
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

private const val MAX_BODY_BYTES = 16 * 1_048_576
private const val POLL_INTERVAL_MS = 5L

/** Runs requests on the slots of a worker; it blocks a thread for the service time of each. */
internal class WorkerRequestHandler(
    private val state: WorkerState,
    private val clock: MonotonicClock,
) : HttpHandler {
    private val previousAnswer = AtomicReference<WorkerAnswer>()

    override fun handleRequest(exchange: HttpServerExchange) {
        val receivedAtMs = clock.nowMs()
        recordHeaders(exchange)
        val requestId = exchange.header(HeaderNames.REQUEST_ID)
        val index = state.runLog.arrive(exchange.toArrival(requestId))
        val bodyBytes = readBody(exchange)
        if (bodyBytes == null) {
            state.runLog.end(index, RunEnd.INCOMPLETE)
            return
        }
        val deadlineMs = exchange.header(HeaderNames.DEADLINE_MS)?.toLongOrNull()
        val endsAtMs = deadlineMs?.let { receivedAtMs + it } ?: Long.MAX_VALUE
        val end = runUntil(exchange, endsAtMs)
        state.runLog.end(index, end)
        finish(exchange, end, exchange.toAnswer(requestId, bodyBytes))
    }

    /** Returns the size of the body, or null if the connection breaks before its end. */
    private fun readBody(exchange: HttpServerExchange): Int? =
        try {
            exchange.inputStream.readNBytes(MAX_BODY_BYTES).size
        } catch (_: IOException) {
            null
        }

    private fun runUntil(
        exchange: HttpServerExchange,
        endsAtMs: Long,
    ): RunEnd =
        if (clock.nowMs() >= endsAtMs || !state.tryTakeSlot()) {
            RunEnd.NOT_RUN
        } else {
            runOnSlot(exchange, endsAtMs)
        }

    private fun runOnSlot(
        exchange: HttpServerExchange,
        endsAtMs: Long,
    ): RunEnd =
        try {
            run(exchange, endsAtMs)
        } finally {
            state.returnSlot()
        }

    private fun run(
        exchange: HttpServerExchange,
        endsAtMs: Long,
    ): RunEnd {
        val doneAtMs = clock.nowMs() + state.nextServiceMs().toLong()
        while (true) {
            val nowMs = clock.nowMs()
            when {
                nowMs >= doneAtMs -> return RunEnd.DONE
                nowMs >= endsAtMs -> return RunEnd.TIMED_OUT
                exchange.isClosedByClient() -> return RunEnd.CANCELLED
            }
            Thread.sleep(minOf(POLL_INTERVAL_MS, doneAtMs - nowMs))
        }
    }

    private fun finish(
        exchange: HttpServerExchange,
        end: RunEnd,
        answer: WorkerAnswer,
    ) {
        when (end) {
            RunEnd.NOT_RUN -> exchange.refuseNotRun(answer.requestId, state.isDraining)
            RunEnd.TIMED_OUT -> exchange.refuseTimedOut(answer.requestId)
            RunEnd.CANCELLED -> exchange.closeWithoutAnswer()
            else -> answerUnderFaults(exchange, answer)
        }
    }

    private fun answerUnderFaults(
        exchange: HttpServerExchange,
        answer: WorkerAnswer,
    ) {
        holdBack(exchange, state.takeAnswerDelayMs())
        val previous = previousAnswer.getAndSet(answer)
        when (state.takeAnswerFault()) {
            AnswerFault.LOST -> exchange.closeWithoutAnswer()
            AnswerFault.CUT -> exchange.cutAnswer(answer.requestId, encode(answer))
            AnswerFault.CROSSED -> send(exchange, previous ?: answer.copy(requestId = "other-${answer.requestId}"))
            null -> send(exchange, answer)
        }
    }

    private fun holdBack(
        exchange: HttpServerExchange,
        delayMs: Long,
    ) {
        val endsAtMs = clock.nowMs() + delayMs
        while (clock.nowMs() < endsAtMs && !exchange.isClosedByClient()) {
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private fun send(
        exchange: HttpServerExchange,
        answer: WorkerAnswer,
    ) = exchange.answer(answer.requestId, encode(answer))

    private fun encode(answer: WorkerAnswer): ByteArray = standinJson.encodeToString(answer).toByteArray()

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
            end = RunEnd.RUNNING,
        )

    private fun HttpServerExchange.toAnswer(
        requestId: String?,
        bodyBytes: Int,
    ): WorkerAnswer =
        WorkerAnswer(
            requestId = requestId.orEmpty(),
            worker = state.settings.name,
            workspace = header(HeaderNames.WORKSPACE),
            method = requestMethod.toString(),
            path = requestPath,
            bodyBytes = bodyBytes,
            padding = "x".repeat(state.settings.answerBytes),
        )
}

private fun HttpServerExchange.header(name: String): String? = requestHeaders.getFirst(name)

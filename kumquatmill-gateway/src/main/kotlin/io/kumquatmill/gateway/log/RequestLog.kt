package io.kumquatmill.gateway.log

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.gateway.caller.LocalResponse
import io.kumquatmill.gateway.http.ConnectionUse
import io.kumquatmill.gateway.store.describeRevision
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.StatedRateLimit
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.model.WorkerEntry
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder

/** Logs each decision on a request together with the state that it was based on. */
class RequestLog {
    private val logger: Logger = LoggerFactory.getLogger("request")

    /** Logs that the request waits [afterMs] milliseconds for a peer to lend tokens of [workspace]'s rate limit. */
    fun waitingForLoan(
        id: String,
        workspace: WorkspaceId?,
        afterMs: Long,
    ) = logger
        .atInfo()
        .addKeyValue("request", id)
        .addKeyValue("workspace", workspace)
        .addKeyValue("afterMs", afterMs)
        .log("waiting for rate tokens from a peer")

    /** Logs that the request [id] ends because of an unexpected [error]. */
    fun requestBroken(
        id: String,
        error: RuntimeException,
    ) = logger
        .atError()
        .addKeyValue("request", id)
        .setCause(error)
        .log("unexpected error")

    /** Logs that the request is sent to [worker], which is estimated to hold [load] requests, directly or through the peer [relay]. */
    fun attemptStarted(
        identity: RequestIdentity,
        worker: WorkerEntry,
        version: Long?,
        load: Double,
        relay: String?,
    ) = logger
        .atInfo()
        .addKeyValue("request", identity.id)
        .addKeyValue("fingerprint", identity.fingerprint)
        .addKeyValue("worker", worker.id)
        .addKeyValue("zone", worker.availabilityZone)
        .addKeyValue("workerRevision", describeRevision(worker.revision))
        .addKeyValue("load", load)
        .addKeyValue("relay", relay ?: "none")
        .addKeyValue("version", version)
        .log("sent")

    /**
     * Logs that the request [id], whose head has [headBytes], is started while [current] is in progress on its connection, as number
     * [position] of those behind it.
     */
    fun readAhead(
        id: String,
        current: String?,
        position: Int,
        headBytes: Int,
    ) = logger
        .atInfo()
        .addKeyValue("request", id)
        .addKeyValue("behind", current)
        .addKeyValue("position", position)
        .addKeyValue("headBytes", headBytes)
        .log("read ahead")

    /** Logs that nothing more is started while [current] is in progress, because of an [error] after [started] requests behind it. */
    fun readAheadFailed(
        current: String?,
        started: Int,
        error: RuntimeException,
    ) = logger
        .atError()
        .addKeyValue("behind", current)
        .addKeyValue("started", started)
        .setCause(error)
        .log("unexpected error while reading ahead")

    /** Logs that the connection of a request for [path] was closed after its caller had read [readBytes] of [bytes] of the response. */
    fun slowCallerClosed(
        path: String,
        readBytes: Long,
        bytes: Long,
    ) = logger
        .atWarn()
        .addKeyValue("path", path)
        .addKeyValue("readBytes", readBytes)
        .addKeyValue("bytes", bytes)
        .log("connection of a slow caller closed: responses that callers have not read take too much memory")

    /** Logs that the request [id] was started, but that the server has read a request with [method] and [path] at its position. */
    fun readAheadMismatched(
        id: String,
        method: String,
        path: String,
    ) = logger
        .atWarn()
        .addKeyValue("request", id)
        .addKeyValue("method", method)
        .addKeyValue("path", path)
        .log("another request found in place of the one read ahead")

    /** Logs what became of the request [id] of the peer at [peerIp], which this host passed on to [worker] or refused to pass on. */
    fun passedOn(
        id: String?,
        peerIp: String,
        worker: String?,
        result: String,
        detail: String?,
        durationMs: Long,
        answer: AnswerSummary? = null,
    ) = logger
        .atInfo()
        .addKeyValue("request", id)
        .addKeyValue("peer", peerIp)
        .addKeyValue("worker", worker)
        .addKeyValue("result", result)
        .addKeyValue("detail", detail)
        .addAnswer(answer, isWhole = true)
        .addUse(answer?.use)
        .addKeyValue("tookMs", durationMs)
        .log("passed on for a peer")

    /**
     * Logs that an attempt at [worker] ended with [result], how the [answer] looked that it was read from, and which connection was used,
     * also if it brought no answer: [use] is null if nothing was sent, or if a peer sent it.
     */
    fun attemptEnded(
        id: String,
        worker: WorkerId,
        result: AttemptResult,
        answer: AnswerSummary?,
        use: ConnectionUse?,
    ) {
        val line =
            logger
                .atInfo()
                .addKeyValue("request", id)
                .addKeyValue("worker", worker)
                .addKeyValue("result", result.resultName)
                .addAnswer(answer, isWhole = result !is AttemptResult.Answered)
                .addUse(use)
        result.notRunBecause?.let { line.addKeyValue("notRunBecause", it) }
        result.load?.servicePercent?.let { line.addKeyValue("servicePercent", it) }
        when (result) {
            is AttemptResult.Answered -> line.addLimit(result.rateLimit)
            is AttemptResult.Unreachable -> line.addKeyValue("detail", result.detail)
            is AttemptResult.RelayFailed -> line.addKeyValue("detail", result.detail)
            is AttemptResult.Unknown ->
                line.addKeyValue("detail", result.detail).apply { result.doubt?.let { addKeyValue("doubt", it.wireName) } }
            is AttemptResult.Shed -> line.addLimit(result.rateLimit)
            is AttemptResult.Misdirected -> line
        }.log("ended")
    }

    /** Logs the final response to a request whose route is known. */
    fun requestFinished(
        identity: RequestIdentity,
        resolved: RouteResolution.Resolved,
        request: TrafficRequest?,
        status: Int,
        outcome: String,
        durationMs: Long,
        version: Long?,
    ) = logger
        .atInfo()
        .addKeyValue("request", identity.id)
        .addKeyValue("fingerprint", identity.fingerprint)
        .addKeyValue("route", resolved.route.id)
        .addKeyValue("workspace", resolved.workspace?.id)
        .addKeyValue("upstream", request?.upstream)
        .addKeyValue("workers", request?.workers)
        .addKeyValue("attempts", request?.attempts ?: 0)
        .addKeyValue("admission", request?.admissionDecision?.wireName ?: "none")
        .addKeyValue("status", status)
        .addKeyValue("outcome", outcome)
        .addKeyValue("tookMs", durationMs)
        .addKeyValue("version", version)
        .log("answered")

    /** Logs a request that was rejected before it was attributed to a route. */
    internal fun requestRejected(
        id: String?,
        host: String?,
        path: String,
        response: LocalResponse,
        version: Long?,
    ) = logger
        .atInfo()
        .addKeyValue("request", id)
        .addKeyValue("host", host)
        .addKeyValue("path", path)
        .addKeyValue("status", response.status)
        .addKeyValue("outcome", response.reason)
        .addKeyValue("version", version)
        .log("answered")
}

private fun LoggingEventBuilder.addAnswer(
    answer: AnswerSummary?,
    isWhole: Boolean,
): LoggingEventBuilder {
    if (answer == null) return this
    val line = addKeyValue("status", answer.status).addKeyValue("connection", if (answer.isConnectionReused) "kept" else "new")
    if (!isWhole) return line
    return line
        .addKeyValue("answerIds", answer.echoedIds)
        .addKeyValue("notRun", answer.saysNotRun)
        .addKeyValue("proof", answer.hasProof)
}

private fun LoggingEventBuilder.addUse(use: ConnectionUse?): LoggingEventBuilder =
    if (use == null) {
        this
    } else {
        addKeyValue("connectionId", use.connectionId)
            .addKeyValue("exchange", use.exchange)
            .addKeyValue("isRepeat", use.isRepeat)
    }

private fun LoggingEventBuilder.addLimit(stated: StatedRateLimit): LoggingEventBuilder =
    when (stated) {
        is StatedRateLimit.None -> this
        is StatedRateLimit.Named -> addKeyValue("limitPerS", stated.perS)
        is StatedRateLimit.Invalid -> addKeyValue("limitPerS", "invalid")
    }

/** Why this result is taken for one of a request that has not run, or null if it is not. */
private val AttemptResult.notRunBecause: String?
    get() =
        when (this) {
            is AttemptResult.Unreachable -> "not-connected"
            is AttemptResult.RelayFailed -> "not-passed-on"
            is AttemptResult.Shed, is AttemptResult.Misdirected -> "refusal-names-request"
            is AttemptResult.Answered, is AttemptResult.Unknown -> null
        }

/** Name of the result type in logs and metrics. */
internal val AttemptResult.resultName: String
    get() =
        when (this) {
            is AttemptResult.Answered -> "answered"
            is AttemptResult.Unreachable -> "unreachable"
            is AttemptResult.RelayFailed -> "relay-failed"
            is AttemptResult.Shed -> "shed"
            is AttemptResult.Misdirected -> "misdirected"
            is AttemptResult.Unknown -> "unknown"
        }

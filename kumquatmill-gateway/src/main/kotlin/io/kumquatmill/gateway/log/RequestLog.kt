package io.kumquatmill.gateway.log

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.gateway.caller.OwnAnswer
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.model.WorkerEntry
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Logs each decision on a request with what it rested on. */
class RequestLog {
    private val logger: Logger = LoggerFactory.getLogger("request")

    /** The request waits [afterMs] for a loan of [workspace]'s allowance. */
    fun waiting(
        id: String,
        workspace: WorkspaceId?,
        afterMs: Long,
    ) = logger
        .atInfo()
        .addKeyValue("request", id)
        .addKeyValue("workspace", workspace)
        .addKeyValue("afterMs", afterMs)
        .log("waits for a loan")

    /** The request goes to [worker], at which [load] requests are thought to be. */
    fun sending(
        id: String,
        worker: WorkerEntry,
        version: Long?,
        load: Double,
    ) = logger
        .atInfo()
        .addKeyValue("request", id)
        .addKeyValue("worker", worker.id)
        .addKeyValue("zone", worker.availabilityZone)
        .addKeyValue("workerRevision", worker.revision)
        .addKeyValue("load", load)
        .addKeyValue("version", version)
        .log("sent")

    /** A sending ended with [result]. */
    fun ended(
        id: String,
        worker: WorkerId,
        result: AttemptResult,
    ) {
        val line =
            logger
                .atInfo()
                .addKeyValue("request", id)
                .addKeyValue("worker", worker)
                .addKeyValue("result", result.wireName)
        when (result) {
            is AttemptResult.Answered -> line.addKeyValue("status", result.status)
            is AttemptResult.Unreachable -> line.addKeyValue("detail", result.detail)
            is AttemptResult.Unknown -> line.addKeyValue("detail", result.detail)
            is AttemptResult.Shed, is AttemptResult.Misdirected -> line
        }.log("ended")
    }

    /** The request has its final answer. */
    fun finished(
        id: String,
        known: RouteResolution.Resolved,
        request: TrafficRequest?,
        status: Int,
        outcome: String,
        tookMs: Long,
        version: Long?,
    ) = logger
        .atInfo()
        .addKeyValue("request", id)
        .addKeyValue("route", known.route.id)
        .addKeyValue("workspace", known.workspace?.id)
        .addKeyValue("upstream", request?.upstream)
        .addKeyValue("workers", request?.workers)
        .addKeyValue("attempts", request?.attempts ?: 0)
        .addKeyValue("status", status)
        .addKeyValue("outcome", outcome)
        .addKeyValue("tookMs", tookMs)
        .addKeyValue("version", version)
        .log("answered")

    /** A request that belongs to no route was answered. */
    internal fun unrouted(
        id: String?,
        host: String?,
        path: String,
        answer: OwnAnswer,
        version: Long?,
    ) = logger
        .atInfo()
        .addKeyValue("request", id)
        .addKeyValue("host", host)
        .addKeyValue("path", path)
        .addKeyValue("status", answer.status)
        .addKeyValue("outcome", answer.reason)
        .addKeyValue("version", version)
        .log("answered")
}

/** Name of the kind of result, for logs and metrics. */
internal val AttemptResult.wireName: String
    get() =
        when (this) {
            is AttemptResult.Answered -> "answered"
            is AttemptResult.Unreachable -> "unreachable"
            is AttemptResult.Shed -> "shed"
            is AttemptResult.Misdirected -> "misdirected"
            is AttemptResult.Unknown -> "unknown"
        }

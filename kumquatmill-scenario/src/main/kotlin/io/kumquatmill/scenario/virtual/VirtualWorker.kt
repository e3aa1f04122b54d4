package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.LoadReport
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.scenario.history.Observation
import kotlin.random.Random

/** A worker under virtual time: it serves up to its slots at a time, sheds the rest, and reports an old load. */
class VirtualWorker(
    val worker: Worker,
    private val time: VirtualTime,
    private val random: Random,
    private val observe: (Observation) -> Unit,
) {
    /** Behaviour in force; assign a copy to change it. */
    var behaviour: WorkerBehaviour = WorkerBehaviour()

    private val runs = HashMap<RequestId, Run>()
    private var lastReport = LoadReport(busySlots = 0, isHealthy = true, isDraining = false)

    init {
        time.every(REPORT_INTERVAL_MS) {
            lastReport = currentReport()
            true
        }
    }

    /** Number of slots that are busy now. */
    val busySlots: Int
        get() = runs.size

    /** Returns the load as last measured, up to [REPORT_INTERVAL_MS] ago. */
    fun report(): LoadReport = lastReport

    /** Takes an attempt; [onResult] gets what the worker sends back, if it sends anything. */
    fun arrive(
        attempt: WorkerAttempt,
        onResult: (AttemptResult, RequestId) -> Unit,
    ) {
        observe(attempt.toArrival(time.nowMs, worker))
        when {
            behaviour.isSilent -> Unit
            behaviour.isDraining -> onResult(AttemptResult.Shed(RETRY_AFTER_MS, isDraining = true), attempt.request)
            runs.size >= worker.slots -> onResult(AttemptResult.Shed(RETRY_AFTER_MS, isDraining = false), attempt.request)
            else -> run(attempt, onResult)
        }
        if (attempt.request !in runs) observeEnd(attempt.request)
    }

    /** Stops the run of [request], as asked for by the entry host. */
    fun cancel(request: RequestId) = end(request)

    /** Ends all runs, as when the process dies; their connections break. */
    fun kill() {
        behaviour = behaviour.copy(isDead = true)
        val broken = runs.toMap()
        broken.keys.forEach(::end)
        broken.forEach { (request, run) -> run.onResult(AttemptResult.Unknown("connection reset"), request) }
    }

    private fun run(
        attempt: WorkerAttempt,
        onResult: (AttemptResult, RequestId) -> Unit,
    ) {
        val run = Run(onResult)
        runs[attempt.request] = run
        observe(Observation.RunStarted(time.nowMs, attempt.request, worker.id))
        time.after(minOf(serviceMs(), attempt.deadlineMs)) {
            if (runs[attempt.request] === run) finish(attempt, onResult)
        }
    }

    private fun finish(
        attempt: WorkerAttempt,
        onResult: (AttemptResult, RequestId) -> Unit,
    ) {
        end(attempt.request)
        val bytes = behaviour.answerBytes
        observe(Observation.AnswerSent(time.nowMs, attempt.request, worker.region, attempt.hostRegion, bytes))
        val result = if (behaviour.cutsAnswers) AttemptResult.Unknown("answer was cut") else AttemptResult.Answered(OK, bytes)
        time.after(behaviour.answerDelayMs) { onResult(result, attempt.request) }
    }

    private fun end(request: RequestId) {
        if (runs.remove(request) != null) observeEnd(request)
    }

    private fun observeEnd(request: RequestId) = observe(Observation.RunEnded(time.nowMs, request, worker.id))

    private fun serviceMs(): Long {
        val baseMs = behaviour.serviceTimeMs + random.nextLong(behaviour.serviceSpreadMs + 1)
        return (baseMs * behaviour.slownessFactor).toLong()
    }

    private fun currentReport(): LoadReport =
        LoadReport(
            busySlots = if (behaviour.reportsIdle) 0 else runs.size,
            isHealthy = true,
            isDraining = behaviour.isDraining,
        )

    private class Run(
        val onResult: (AttemptResult, RequestId) -> Unit,
    )

    companion object {
        /** Time between two measurements of a worker's load. */
        const val REPORT_INTERVAL_MS: Long = 2_000
        private const val RETRY_AFTER_MS = 500L
        private const val OK = 200
    }
}

/** An attempt as a worker sees it. */
data class WorkerAttempt(
    val request: RequestId,
    val workspace: WorkspaceId?,
    val host: HostId,
    val hostRegion: RegionId,
    val bytes: Long,
    val deadlineMs: Long,
)

private fun WorkerAttempt.toArrival(
    atMs: Long,
    worker: Worker,
) = Observation.AttemptArrived(atMs, request, worker.id, worker.region, host, hostRegion, workspace, bytes)

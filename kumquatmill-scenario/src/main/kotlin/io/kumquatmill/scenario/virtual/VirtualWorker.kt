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

/** Simulated worker: runs as many requests concurrently as it has slots, sheds the others, and reports a stale load. */
class VirtualWorker(
    val worker: Worker,
    private val time: VirtualTime,
    private val random: Random,
    private val observe: (Observation) -> Unit,
) {
    /** Current behaviour; may be replaced while the simulation runs. */
    var behaviour: WorkerBehaviour = WorkerBehaviour()

    private val runs = HashMap<RequestId, Run>()
    private var lastReport = LoadReport(busySlots = 0, isHealthy = true, isDraining = false)

    init {
        time.every(REPORT_INTERVAL_MS) {
            lastReport = currentReport()
            true
        }
    }

    /** Number of requests that are running. */
    val busySlots: Int
        get() = runs.size

    /** Returns the last measured load, which is up to [REPORT_INTERVAL_MS] old. */
    fun report(): LoadReport = lastReport

    /** Receives an attempt; [onResult] gets the result and the request that it belongs to, unless the worker is silent. */
    fun receive(
        attempt: WorkerAttempt,
        onResult: (AttemptResult, RequestId) -> Unit,
    ) {
        observe(attempt.toArrival(time.nowMs, worker))
        when {
            behaviour.isSilent -> Unit
            behaviour.isDraining -> onResult(AttemptResult.Shed(RETRY_AFTER_MS, isDraining = true), attempt.request)
            runs.size >= worker.slots -> onResult(AttemptResult.Shed(RETRY_AFTER_MS, isDraining = false), attempt.request)
            else -> startRun(attempt, onResult)
        }
        if (attempt.request !in runs) observeEnd(attempt.request)
    }

    /** Cancels the run of [request] on behalf of the entry host. */
    fun cancel(request: RequestId) = end(request)

    /** Ends the process: all runs end and their connections break. */
    fun kill() {
        behaviour = behaviour.copy(isDead = true)
        val broken = runs.toMap()
        broken.keys.forEach(::end)
        broken.forEach { (request, run) -> run.onResult(AttemptResult.Unknown("connection reset"), request) }
    }

    private fun startRun(
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
        val bytes = behaviour.responseBytes
        observe(Observation.ResponseSent(time.nowMs, attempt.request, worker.region, attempt.hostRegion, bytes))
        val result =
            if (behaviour.truncatesResponses) {
                AttemptResult.Unknown("response was truncated")
            } else {
                AttemptResult.Answered(HTTP_OK, bytes)
            }
        time.after(behaviour.responseDelayMs) { onResult(result, attempt.request) }
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
        /** Time between two measurements of the load of a worker. */
        const val REPORT_INTERVAL_MS: Long = 2_000
        private const val RETRY_AFTER_MS = 500L
        private const val HTTP_OK = 200
    }
}

/** An attempt as received by a worker; a run ends after [deadlineMs] at the latest. */
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

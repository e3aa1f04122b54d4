package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.admission.AdmissionMode
import io.kumquatmill.traffic.admission.AdmissionSettings
import io.kumquatmill.traffic.catalogueUpstream
import io.kumquatmill.traffic.crash.CrashReport
import io.kumquatmill.traffic.crash.CrashSettings
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.model.WeightedUpstream
import io.kumquatmill.traffic.report
import io.kumquatmill.traffic.route
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker
import io.kumquatmill.traffic.workspace
import kotlin.random.Random

/**
 * Random requests, results, reports and edits at one controller. Two runs with the same seed get the same input.
 *
 * @param mode whether requests are admitted by cost
 * @param beforeRequest called before each request
 */
internal class ExplainSimulation(
    seed: Int,
    mode: AdmissionMode,
    private val beforeRequest: (TrafficController, nowMs: Long, Input) -> Unit,
) {
    /** Request that is about to begin. */
    class Input(
        val path: String,
        val workspace: String,
        val affinityKey: String?,
        val deadlineMs: Long?,
    ) {
        val fingerprint = RequestFingerprint.of("GET", HOST, path, WorkspaceId(workspace), ByteArray(0))

        fun explained() = ExplainedRequest(HOST, path, affinityKey = affinityKey, workspace = workspace)
    }

    /** Actions and loan requests in order. */
    val trace = ArrayList<String>()
    private val input = Random(seed)
    private val controller =
        TrafficController(
            host("h1"),
            settings().copy(admission = AdmissionSettings(mode), crash = CrashSettings(maxRecords = 3)),
            sendLoanRequest = { trace += it.toString() },
            random = Random(seed),
        )
    private val archive = UpstreamId("archive")
    private val workers =
        listOf("east-a", "east-b", "west-a").flatMap { zone -> (1..2).map { worker("$zone-$it", zone, slots = 2) } } +
            worker("cold", warmUpRemainingMs = 5_000) + worker("old-1", upstream = archive, slots = 1) + worker("old-2", upstream = archive)
    private val workspaces =
        listOf(workspace(), workspace("beta", 20.0, 5.0), workspace("gamma", 2.0, 1.0), workspace("delta", homeRegions = setOf("west")))
    private val peers = listOf(host("h2"), host("h3", "east-b"), host("h4", "west-a"))
    private val running = ArrayList<TrafficRequest>()
    private val waiting = ArrayList<TrafficRequest>()
    private var nowMs = 0L
    private var count = 0L

    fun run(steps: Int) {
        controller.updateHosts(0, peers)
        update(version = 1, lateTargetMs = 300)
        repeat(steps) { step ->
            nowMs += input.nextLong(20)
            if (step == steps / 2) update(version = 2, lateTargetMs = 3_000)
            if (step % 20 == 0) controller.tick(nowMs)
            if (step % 10 == 0) peers.forEach { onReport(it) }
            waiting.removeFirstOrNull()?.let { record(it, controller.resume(nowMs, it)) }
            if (input.nextInt(3) > 0) begin(step * 2 > steps)
            if (running.size > input.nextInt(40)) finish(running.removeAt(input.nextInt(running.size)))
        }
    }

    private fun update(
        version: Long,
        lateTargetMs: Long,
    ) {
        val weighted = listOf(WeightedUpstream(catalogueUpstream, 2.0), WeightedUpstream(archive, 1.0))
        val routes =
            listOf(
                route(weightedUpstreams = weighted),
                route("order", "/order/", isIdempotent = false, priority = 1),
                route("late", "/late/", timeoutMs = null).copy(targetLatencyMs = lateTargetMs),
            )
        controller.update(nowMs, steeringState(workers, desiredState(version, routes, workspaces)))
    }

    private fun begin(isLateUsed: Boolean) {
        val kinds = if (isLateUsed) listOf("lookup", "order", "late") else listOf("lookup", "order")
        val next =
            Input(
                "/${kinds.random(input)}/${input.nextInt(6)}",
                workspaces.random(input).id.value,
                listOf(null, "k1", "k2", "k3").random(input),
                listOf(null, DEADLINE_MS, DEADLINE_MS, 1_000L).random(input),
            )
        beforeRequest(controller, nowMs, next)
        val resolved = controller.resolve(HOST, next.path, "key-${next.workspace}") as RouteResolution.Resolved
        val (request, action) = controller.begin(nowMs, resolved, next.affinityKey, "r${count++}", next.deadlineMs, next.fingerprint)
        record(request, action)
    }

    private fun finish(request: TrafficRequest) {
        val load = WorkerLoad(running = input.nextInt(3), waiting = input.nextInt(4), slots = 2)
        val limited = AttemptResult.Shed(load, StatedRateLimit.Named(5.0))
        val others = listOf(AttemptResult.Unreachable("refused"), AttemptResult.Unknown("reset"), AttemptResult.Misdirected, limited)
        record(
            request,
            controller.onResult(nowMs, request, if (input.nextInt(8) == 0) others.random(input) else AttemptResult.Answered(200, load)),
        )
    }

    private fun record(
        request: TrafficRequest?,
        action: RequestAction,
    ) {
        trace +=
            when (action) {
                is RequestAction.Send -> "$nowMs send ${action.worker.entry.id} ${action.timeoutMs} ${action.maxIdleConnections}"
                else -> "$nowMs $action"
            }
        if (action is RequestAction.Send) request?.let { running += it }
        if (action is RequestAction.Wait) request?.let { waiting += it }
    }

    /** Applies a report of [peer], from time to time with crashes for which a request is quarantined. */
    private fun onReport(peer: EntryHostInfo) {
        val beta = WorkspaceTag.of(WorkspaceId("beta"))
        val path = input.nextInt(6)
        val crashing = Input("/lookup/$path", "alpha", null, null).fingerprint
        // Each request ends workers of its own: otherwise only the most suspect one is quarantined, and there is nothing to forget.
        val ended = if (input.nextInt(10) == 0) listOf(1, 2, 3) else emptyList()
        val crashes = ended.map { CrashReport.Crash(crashing, WorkerTag(path * 10 + it), it * 2_000L, leadMs = 10) }
        val sent = report(peer, ++count, demandPerS = mapOf(beta to 1.0), sharesPerMille = mapOf(beta to 250))
        controller.onReport(nowMs, sent.copy(crashes = CrashReport(crashes)))
    }

    companion object {
        const val HOST = "shop.example"

        /** Not less than the time-out of a route, so that it changes no decision. */
        const val DEADLINE_MS = 2_000L
    }
}

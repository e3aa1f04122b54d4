package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.node.LookupQuery
import io.kumquatmill.node.LookupResult
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.scenario.history.Observation
import io.kumquatmill.scenario.script.CallerLoad
import kotlin.math.ln
import kotlin.random.Random

/** Callers of one workspace in one region: they look up entry hosts, cache the result and send requests at [ratePerS]. */
internal class VirtualCaller(
    val load: CallerLoad,
    private val name: String,
    private val simulation: Simulation,
    private val random: Random,
    private val onCompleted: (CompletedCall) -> Unit,
) {
    /** Requests that the callers send per second; may be changed while the simulation runs. */
    var ratePerS: Double = load.ratePerS

    private val region = RegionId(load.region)
    private val keyHash = load.workspace?.let { KeyHash.of(keyOf(it)) }
    private val route =
        simulation.deployment.topology.routes
            .first { it.id.value == load.route }
    private var knownHosts: List<HostId> = nearestHostsFirst()
    private var cachedUntilMs = 0L
    private var requestCount = 0L

    fun start() {
        simulation.time.after(nextIntervalMs(), ::sendRepeatedly)
    }

    private fun sendRepeatedly() {
        if (ratePerS > 0) startCall()
        simulation.time.after(nextIntervalMs(), ::sendRepeatedly)
    }

    private fun nextIntervalMs(): Long {
        if (ratePerS <= 0) return IDLE_CHECK_MS
        val intervalMs = if (load.isSteady) MS_PER_S / ratePerS else -ln(1 - random.nextDouble()) * MS_PER_S / ratePerS
        return intervalMs.toLong().coerceAtLeast(1)
    }

    private fun startCall() {
        refreshHosts()
        send(Call(startedAtMs = simulation.time.nowMs, candidates = knownHosts))
    }

    /** If the cached lookup result has expired, looks up the hosts to use at the first host that responds. */
    private fun refreshHosts() {
        if (simulation.time.nowMs < cachedUntilMs) return
        val candidates = knownHosts + nearestHostsFirst()
        val lookup =
            candidates
                .asSequence()
                .filter { isReachable(it) }
                .mapNotNull { simulation.host(it).lookUp(LookupQuery(keyHash, clientIpOf(region))) }
                .filterIsInstance<LookupResult.Found>()
                .firstOrNull() ?: return
        knownHosts = (lookup.hosts + lookup.alternates).map { it.host }
        cachedUntilMs = simulation.time.nowMs + lookup.cacheMs
    }

    private fun send(call: Call) {
        requestCount += 1
        val request = RequestId("$name-$requestCount")
        val host = call.candidates.first()
        val sent = Observation.RequestSent(simulation.time.nowMs, request, host, region, keyHash, load.workspaceId, route.id)
        simulation.observe(sent)
        val event =
            NodeEvent.RequestArrived(
                request = request,
                keyHash = keyHash,
                method = route.methods.first(),
                path = route.pathPrefix,
                bodyBytes = load.bodyBytes,
            )
        val delayMs = simulation.deployment.delays.toCallersMs
        if (!isReachable(host)) {
            simulation.time.after(CONNECT_TIMEOUT_MS) { onConnectFailed(call) }
            return
        }
        val exchange = Exchange()
        simulation.time.after(route.deadlineMs + TIMEOUT_MARGIN_MS) {
            exchange.endOnce { onDisconnected(call, request, host, hasTimedOut = true) }
        }
        simulation.time.after(delayMs) {
            simulation.host(host).accept(
                event,
                onResponse = { outcome, respondedRequest ->
                    simulation.time.after(delayMs) { exchange.endOnce { onResponse(call, request, outcome, respondedRequest) } }
                },
                onDisconnected = {
                    simulation.time.after(delayMs) {
                        exchange.endOnce { onDisconnected(call, request, host, hasTimedOut = false) }
                    }
                },
                onConnectionRefused = { simulation.time.after(delayMs) { exchange.endOnce { onConnectFailed(call) } } },
            )
        }
    }

    /** A request sent to an entry host; only the first of its response, disconnect and timeout counts. */
    private class Exchange {
        private var isEnded = false

        fun endOnce(action: () -> Unit) {
            if (isEnded) return
            isEnded = true
            action()
        }
    }

    private fun onResponse(
        call: Call,
        request: RequestId,
        outcome: Outcome,
        respondedRequest: RequestId?,
    ) {
        simulation.observe(Observation.ResponseReceived(simulation.time.nowMs, request, outcome, respondedRequest))
        val canRetry = outcome is Outcome.NotRun && outcome.reason in HOST_SPECIFIC_REASONS && call.candidates.size > 1
        if (canRetry) send(call.next()) else end(call, outcome)
    }

    private fun onDisconnected(
        call: Call,
        request: RequestId,
        host: HostId,
        hasTimedOut: Boolean,
    ) {
        simulation.observe(Observation.CallerDisconnected(simulation.time.nowMs, request, host, hasTimedOut))
        if (route.isIdempotent && call.candidates.size > 1) send(call.next()) else end(call, outcome = null)
    }

    private fun onConnectFailed(call: Call) {
        if (call.candidates.size > 1) send(call.next()) else end(call, outcome = null)
    }

    private fun end(
        call: Call,
        outcome: Outcome?,
    ) = onCompleted(CompletedCall(load, call.startedAtMs, simulation.time.nowMs, outcome))

    private fun isReachable(host: HostId): Boolean = simulation.host(host).isRunning && !isRegionPartitioned(host)

    private fun isRegionPartitioned(host: HostId): Boolean {
        val hostRegion = simulation.host(host).endpoint.region
        return hostRegion != region &&
            (hostRegion in simulation.network.faults.partitionedRegions || region in simulation.network.faults.partitionedRegions)
    }

    private fun nearestHostsFirst(): List<HostId> =
        simulation.deployment.entryHosts
            .sortedBy { it.region != region }
            .map { it.host }

    private data class Call(
        val startedAtMs: Long,
        val candidates: List<HostId>,
    ) {
        fun next(): Call = copy(candidates = candidates.drop(1))
    }

    companion object {
        private const val MS_PER_S = 1_000.0
        private const val IDLE_CHECK_MS = 100L
        private const val CONNECT_TIMEOUT_MS = 200L
        private const val TIMEOUT_MARGIN_MS = 1_000L
        private val HOST_SPECIFIC_REASONS =
            setOf(
                RefusalReason.HOST_STOPPING,
                RefusalReason.HOST_STARTING,
                RefusalReason.HOST_ISOLATED,
            )

        /** Returns the key that the callers of [workspace] send. */
        fun keyOf(workspace: String): String = "key-of-$workspace"

        /** Returns the IP address of the callers in [region]. */
        fun clientIpOf(region: RegionId): String = "10.${region.value.hashCode() and BYTE_MASK}.0.1"

        private const val BYTE_MASK = 0xff
    }
}

/**
 * A call that ended, after all its retries on other hosts.
 *
 * [outcome] is null if the caller could not connect, was disconnected or timed out.
 */
data class CompletedCall(
    val load: CallerLoad,
    val startedAtMs: Long,
    val endedAtMs: Long,
    val outcome: Outcome?,
) {
    /** Time from the first request of the caller to the end of the call. */
    val latencyMs: Long
        get() = endedAtMs - startedAtMs
}

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

/** Callers of one workspace in one region: they look up entry hosts, cache the answer and send requests at a rate. */
internal class VirtualCaller(
    val load: CallerLoad,
    private val name: String,
    private val world: VirtualWorld,
    private val random: Random,
    private val onEnd: (CallEnd) -> Unit,
) {
    /** Requests per second that the callers send; assign to change it. */
    var ratePerS: Double = load.ratePerS

    private val region = RegionId(load.region)
    private val keyHash = load.workspace?.let { KeyHash.of(keyOf(it)) }
    private val route =
        world.deployment.topology.routes
            .first { it.id.value == load.route }
    private var knownHosts: List<HostId> = nearestFirst()
    private var cachedUntilMs = 0L
    private var requestCount = 0L

    fun start() {
        world.time.after(nextGapMs(), ::sendAndRepeat)
    }

    private fun sendAndRepeat() {
        if (ratePerS > 0) call()
        world.time.after(nextGapMs(), ::sendAndRepeat)
    }

    private fun nextGapMs(): Long {
        if (ratePerS <= 0) return IDLE_CHECK_MS
        val gapMs = if (load.isSteady) MS_PER_S / ratePerS else -ln(1 - random.nextDouble()) * MS_PER_S / ratePerS
        return gapMs.toLong().coerceAtLeast(1)
    }

    private fun call() {
        refreshHosts()
        send(Call(startedAtMs = world.time.nowMs, candidates = knownHosts))
    }

    /** Asks the first host that answers which hosts to use, when the cached answer has run out. */
    private fun refreshHosts() {
        if (world.time.nowMs < cachedUntilMs) return
        val candidates = knownHosts + nearestFirst()
        val answer =
            candidates
                .asSequence()
                .filter { isReachable(it) }
                .mapNotNull { world.host(it).lookUp(LookupQuery(keyHash, clientIpOf(region))) }
                .filterIsInstance<LookupResult.Found>()
                .firstOrNull() ?: return
        knownHosts = (answer.hosts + answer.alternates).map { it.host }
        cachedUntilMs = world.time.nowMs + answer.cacheMs
    }

    private fun send(call: Call) {
        requestCount += 1
        val request = RequestId("$name-$requestCount")
        val host = call.candidates.first()
        val sent = Observation.RequestSent(world.time.nowMs, request, host, region, keyHash, load.workspaceId, route.id)
        world.observe(sent)
        val event =
            NodeEvent.RequestArrived(
                request = request,
                keyHash = keyHash,
                method = route.methods.first(),
                path = route.pathPrefix,
                bodyBytes = load.bodyBytes,
            )
        val delayMs = world.deployment.delays.toCallersMs
        if (!isReachable(host)) {
            world.time.after(CONNECT_TIMEOUT_MS) { onNotConnected(call) }
            return
        }
        val exchange = Exchange()
        world.time.after(route.deadlineMs + TIMEOUT_MARGIN_MS) { exchange.endOnce { onCut(call, request, host, hasTimedOut = true) } }
        world.time.after(delayMs) {
            world.host(host).accept(
                event,
                onAnswer = { outcome, answered ->
                    world.time.after(delayMs) { exchange.endOnce { onAnswer(call, request, outcome, answered) } }
                },
                onCut = { world.time.after(delayMs) { exchange.endOnce { onCut(call, request, host, hasTimedOut = false) } } },
                onRefused = { world.time.after(delayMs) { exchange.endOnce { onNotConnected(call) } } },
            )
        }
    }

    /** One request on the connection to an entry host, which ends once. */
    private class Exchange {
        private var isEnded = false

        fun endOnce(action: () -> Unit) {
            if (isEnded) return
            isEnded = true
            action()
        }
    }

    private fun onAnswer(
        call: Call,
        request: RequestId,
        outcome: Outcome,
        answered: RequestId?,
    ) {
        world.observe(Observation.CallerAnswered(world.time.nowMs, request, outcome, answered))
        val maySendAgain = outcome is Outcome.NotRun && outcome.reason in ELSEWHERE_REASONS && call.candidates.size > 1
        if (maySendAgain) send(call.next()) else end(call, outcome)
    }

    private fun onCut(
        call: Call,
        request: RequestId,
        host: HostId,
        hasTimedOut: Boolean,
    ) {
        world.observe(Observation.CallerDisconnected(world.time.nowMs, request, host, hasTimedOut))
        if (route.isIdempotent && call.candidates.size > 1) send(call.next()) else end(call, outcome = null)
    }

    private fun onNotConnected(call: Call) {
        if (call.candidates.size > 1) send(call.next()) else end(call, outcome = null)
    }

    private fun end(
        call: Call,
        outcome: Outcome?,
    ) = onEnd(CallEnd(load, call.startedAtMs, world.time.nowMs, outcome))

    private fun isReachable(host: HostId): Boolean = world.host(host).isRunning && !isRegionCut(host)

    private fun isRegionCut(host: HostId): Boolean {
        val hostRegion = world.host(host).place.region
        return hostRegion != region && (hostRegion in world.network.faults.cutRegions || region in world.network.faults.cutRegions)
    }

    private fun nearestFirst(): List<HostId> =
        world.deployment.entryHosts
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
        private val ELSEWHERE_REASONS =
            setOf(
                RefusalReason.HOST_STOPPING,
                RefusalReason.HOST_STARTING,
                RefusalReason.HOST_ISOLATED,
            )

        /** Returns the key that the callers of [workspace] show. */
        fun keyOf(workspace: String): String = "key-of-$workspace"

        /** Returns an address of a client in [region]. */
        fun clientIpOf(region: RegionId): String = "10.${region.value.hashCode() and BYTE_MASK}.0.1"

        private const val BYTE_MASK = 0xff
    }
}

/** How a call of a workspace ended; [outcome] is null when the connection was lost. */
data class CallEnd(
    val load: CallerLoad,
    val startedAtMs: Long,
    val endedAtMs: Long,
    val outcome: Outcome?,
) {
    /** Time from the first attempt of the caller to its final answer, in milliseconds. */
    val latencyMs: Long
        get() = endedAtMs - startedAtMs
}

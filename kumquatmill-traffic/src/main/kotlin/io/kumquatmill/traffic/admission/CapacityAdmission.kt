package io.kumquatmill.traffic.admission

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.model.Workspace
import kotlin.math.max
import kotlin.math.min

/**
 * Decides which requests wait for a busy worker, so that a shortage delays or refuses what costs callers least.
 *
 * Workers serve requests in the order of arrival, so a request delays all that arrive after it. A request therefore waits only as
 * long as its own target latency allows and as more urgent requests to the same upstream tolerate. A request that will be late
 * anyway is served if it makes none late that can be on time.
 *
 * Instances are not thread-safe. All times are milliseconds.
 */
class CapacityAdmission(
    private val settings: AdmissionSettings = AdmissionSettings(),
) {
    private val elapsedTimes = ElapsedTimes()
    private val observedWaits = ObservedWaits()
    private val demandByUpstream = HashMap<UpstreamId, UpstreamDemand>()
    private var tickedAtMs = 0L
    private var priorities: EffectivePriorities? = null

    /** Applies a new [desired] state, which may switch decisions by cost on or off. */
    fun update(desired: DesiredState) {
        val isActive =
            when (settings.mode) {
                AdmissionMode.AUTO -> desired.routes.any { it.isBulk }
                AdmissionMode.BY_COST -> true
                AdmissionMode.BY_TARGET -> false
            }
        priorities = if (isActive) EffectivePriorities(desired) else null
        demandByUpstream.clear()
        observedWaits.clear()
        elapsedTimes.retain(desired.routes.mapTo(HashSet()) { it.id })
    }

    /**
     * Returns the request of [route] and [workspace] to decide on, or null if decisions by cost are off.
     *
     * @param deadlineMs time in milliseconds that the caller still waits, or null if it states none
     */
    fun requestOf(
        nowMs: Long,
        route: TrafficRoute,
        workspace: Workspace?,
        upstream: UpstreamId,
        priorityRank: Int,
        deadlineMs: Long?,
    ): AdmissionRequest? {
        val priorities = this.priorities ?: return null
        return AdmissionRequest(
            route = route,
            upstream = upstream,
            priorityRank = priorityRank,
            effectiveRank = priorities.rankOf(route, workspace),
            elapsedMs = if (deadlineMs == null) 0 else elapsedTimes.elapsedMs(nowMs, route.id, deadlineMs),
        )
    }

    /** Decides on [request] at the worker of [candidate]; [timeLeftMs] is the time until the request's deadline. */
    fun decide(
        request: AdmissionRequest,
        candidate: AdmissionCandidate,
        timeLeftMs: Long,
    ): AdmissionDecision {
        val demand = demandByUpstream[request.upstream]
        val rank = request.effectiveRank
        val zoneWaitMs = observedWaits.waitMs(tickedAtMs, request.upstream, candidate.zone)
        val waitMs = max(candidate.waitMs, settings.zoneWaitWeight * zoneWaitMs)
        val toleranceMs = toleranceMs(request, candidate)
        val isFree = waitMs <= 0
        request.serviceMs = min(request.serviceMs ?: candidate.serviceMs, candidate.serviceMs)
        request.toleranceMs = max(request.toleranceMs, toleranceMs)
        val lateLimitMs = demand?.lateLimitMs(rank) ?: 0.0
        val limitMs = demand?.limitMs(rank) ?: Double.MAX_VALUE
        val delaysNobody = isFree || waitMs + candidate.serviceMs / candidate.slots <= lateLimitMs
        val isLate = isLate(request, candidate.serviceMs)
        // A service time close to the target leaves no tolerance, and a short queue is no reason to refuse.
        val isOnTime = !isLate && (isFree || waitMs <= toleranceMs)
        return when {
            waitMs + candidate.minServiceMs > timeLeftMs -> AdmissionDecision.PAST_DEADLINE
            isOnTime -> if (isFree || waitMs <= limitMs) AdmissionDecision.ON_TIME else AdmissionDecision.YIELDS_TO_URGENT
            delaysNobody -> AdmissionDecision.LATE
            isLate -> AdmissionDecision.LATE_DELAYS_OTHERS
            else -> AdmissionDecision.WAIT_TOO_LONG
        }.also { request.decision = it }
    }

    /** Records that the arriving [request] was sent to a worker that is expected to take [serviceMs] milliseconds. */
    fun onServed(
        nowMs: Long,
        request: AdmissionRequest,
        serviceMs: Double,
    ) {
        observedWaits.onServed(request.upstream, serviceMs)
        request.decision = if (isLate(request, serviceMs)) AdmissionDecision.LATE else AdmissionDecision.ON_TIME
        record(nowMs, request, serviceMs, isServed = true)
    }

    /** Records that the arriving [request] was refused. */
    fun onRefused(
        nowMs: Long,
        request: AdmissionRequest,
    ) {
        request.serviceMs?.let { record(nowMs, request, it, isServed = false) }
    }

    private fun record(
        nowMs: Long,
        request: AdmissionRequest,
        serviceMs: Double,
        isServed: Boolean,
    ) {
        val ranks = priorities?.size ?: return
        demandByUpstream
            .getOrPut(request.upstream) { UpstreamDemand(settings, ranks).also { it.tick(nowMs) } }
            .record(request, serviceMs, request.toleranceMs, isServed)
    }

    /** Computes the limits again; must be called several times per second. */
    fun tick(nowMs: Long) {
        tickedAtMs = nowMs
        demandByUpstream.values.forEach { it.tick(nowMs) }
    }

    /** Records that the worker of [entry] reported [running] and [waiting] requests. */
    fun onLoad(
        nowMs: Long,
        entry: WorkerEntry,
        running: Int,
        waiting: Int,
    ) {
        if (priorities != null) observedWaits.onLoad(nowMs, entry.upstream, entry.availabilityZone, running, waiting, entry.slots)
    }

    private fun isLate(
        request: AdmissionRequest,
        serviceMs: Double,
    ): Boolean = request.elapsedMs + serviceMs > request.route.targetLatencyMs

    /**
     * Returns how long [request] may wait at [candidate]. It is the same for callers of all regions: otherwise the callers of a region
     * with few workers, who reach most workers later than others, would be refused first.
     */
    private fun toleranceMs(
        request: AdmissionRequest,
        candidate: AdmissionCandidate,
    ): Double {
        val fraction = settings.maxWaitFractions[min(request.priorityRank, settings.maxWaitFractions.lastIndex)]
        val neededMs = request.elapsedMs + candidate.serviceMs + candidate.reserveMs
        return max(0.0, request.route.targetLatencyMs - neededMs) * fraction
    }
}

package io.kumquatmill.traffic.admission

import io.kumquatmill.common.id.AvailabilityZoneId
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

    /**
     * Decides on [request] at a worker.
     *
     * @param zone availability zone of the worker
     * @param waitMs expected time in the queue, as far as this host knows the worker's load
     * @param serviceMs expected service time including the network
     * @param minServiceMs shortest likely service time; 0 if nothing is known of it
     * @param slots requests that the worker executes concurrently
     * @param timeLeftMs time until the request's deadline
     */
    fun decide(
        request: AdmissionRequest,
        zone: AvailabilityZoneId,
        waitMs: Double,
        serviceMs: Double,
        minServiceMs: Double,
        slots: Int,
        timeLeftMs: Long,
    ): AdmissionDecision {
        val demand = demandByUpstream[request.upstream]
        val rank = request.effectiveRank
        val queueMs = max(waitMs, settings.zoneWaitWeight * observedWaits.waitMs(tickedAtMs, request.upstream, zone))
        val toleranceMs = toleranceMs(request, serviceMs)
        val isFree = queueMs <= 0
        return when {
            queueMs + minServiceMs > timeLeftMs -> AdmissionDecision.PAST_DEADLINE
            isLate(request, serviceMs) ->
                if (isFree || demand == null || queueMs + serviceMs / slots <= demand.lateLimitMs(rank)) {
                    AdmissionDecision.LATE
                } else {
                    AdmissionDecision.LATE_DELAYS_OTHERS
                }
            queueMs > toleranceMs -> AdmissionDecision.WAIT_TOO_LONG
            isFree || demand == null || queueMs <= demand.limitMs(rank) -> AdmissionDecision.ON_TIME
            else -> AdmissionDecision.YIELDS_TO_URGENT
        }.also {
            request.decision = it
            request.serviceMs = min(request.serviceMs ?: serviceMs, serviceMs)
        }
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
            .record(request, serviceMs, toleranceMs(request, serviceMs), isServed)
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

    private fun toleranceMs(
        request: AdmissionRequest,
        serviceMs: Double,
    ): Double {
        val fraction = settings.maxWaitFractions[min(request.priorityRank, settings.maxWaitFractions.lastIndex)]
        return max(0.0, request.route.targetLatencyMs - request.elapsedMs - serviceMs) * fraction
    }
}

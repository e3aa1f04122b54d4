package io.kumquatmill.traffic.admission

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.TrafficRoute
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
    private val demandByUpstream = HashMap<UpstreamId, UpstreamDemand>()
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
        elapsedTimes.retain(desired.routes.mapTo(HashSet()) { it.id })
    }

    /**
     * Returns the request of [route] and [workspace] to decide on, or null if decisions by cost are off.
     *
     * @param deadlineMs time in milliseconds that the caller still waits, or null if it states none
     * @param requestHash hash that differs between requests
     */
    fun requestOf(
        nowMs: Long,
        route: TrafficRoute,
        workspace: Workspace?,
        upstream: UpstreamId,
        priorityRank: Int,
        deadlineMs: Long?,
        requestHash: Long,
    ): AdmissionRequest? {
        val priorities = this.priorities ?: return null
        return AdmissionRequest(
            route = route,
            upstream = upstream,
            priorityRank = priorityRank,
            effectiveRank = priorities.rankOf(route, workspace),
            elapsedMs = if (deadlineMs == null) 0 else elapsedTimes.elapsedMs(nowMs, route.id, deadlineMs),
            spread = (combineHashes(requestHash, SPREAD_SALT) ushr HASH_SHIFT) / HASH_RANGE,
        )
    }

    /**
     * Decides on [request] at a worker.
     *
     * @param waitMs expected time in the worker's queue
     * @param serviceMs expected service time including the network
     * @param minServiceMs shortest likely service time; 0 if nothing is known of it
     * @param slots requests that the worker executes concurrently
     * @param timeLeftMs time until the request's deadline
     */
    fun decide(
        request: AdmissionRequest,
        waitMs: Double,
        serviceMs: Double,
        minServiceMs: Double,
        slots: Int,
        timeLeftMs: Long,
    ): AdmissionDecision {
        val demand = demandByUpstream[request.upstream]
        val rank = request.effectiveRank
        val toleranceMs = toleranceMs(request, serviceMs)
        val isFree = waitMs <= 0
        return when {
            waitMs + minServiceMs > timeLeftMs -> AdmissionDecision.PAST_DEADLINE
            isLate(request, serviceMs) ->
                if (isFree || demand == null || waitMs + serviceMs / slots <= demand.lateLimitMs(rank)) {
                    AdmissionDecision.LATE
                } else {
                    AdmissionDecision.LATE_DELAYS_OTHERS
                }
            waitMs > toleranceMs -> AdmissionDecision.WAIT_TOO_LONG
            isFree || demand == null || waitMs <= demand.limitMs(rank) || demand.isBelowGuarantee(rank) -> AdmissionDecision.ON_TIME
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
    fun tick(nowMs: Long) = demandByUpstream.values.forEach { it.tick(nowMs) }

    /**
     * Returns the time in milliseconds after which the caller of the refused [request] is to retry. The answer will be late whenever it
     * comes before the deadline, so callers return over the time that is left, and not before a queue of [waitMs] has drained.
     */
    fun retryAfterMs(
        request: AdmissionRequest,
        waitMs: Double,
        timeLeftMs: Long,
    ): Long {
        val earliestMs = max(MIN_RETRY_AFTER_MS, waitMs)
        val latestMs = max(earliestMs * 2, timeLeftMs * settings.retrySpreadFraction)
        return (earliestMs + (latestMs - earliestMs) * request.spread).toLong()
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

    private companion object {
        /** A slot becomes free within about the service time of a request; an earlier retry would meet the same queue. */
        const val MIN_RETRY_AFTER_MS = 300.0
        const val SPREAD_SALT = 0x6A09E667F3BCC909L
        const val HASH_SHIFT = 11
        const val HASH_RANGE = 9.007199254740992E15
    }
}

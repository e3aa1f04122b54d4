package io.kumquatmill.traffic.admission

import io.kumquatmill.common.id.RouteId
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/**
 * Recent demand on one upstream by effective rank, and the wait that requests of each rank may cause.
 *
 * Work is the expected service time of requests in milliseconds. All sums decay, so that only the last seconds count.
 */
internal class UpstreamDemand(
    private val settings: AdmissionSettings,
    private val ranks: Int,
) {
    private class RouteDemand(
        var workMs: Double = 0.0,
        var toleranceMs: Double = Double.MAX_VALUE,
    )

    private val demandMs = DoubleArray(ranks)
    private val admittedMs = DoubleArray(ranks)
    private val routes = List(ranks) { HashMap<RouteId, RouteDemand>() }
    private val limitsMs = DoubleArray(ranks) { Double.MAX_VALUE }
    private val guaranteedLimitsMs = DoubleArray(ranks) { Double.MAX_VALUE }
    private val lateLimitsMs = DoubleArray(ranks) { Double.MAX_VALUE }
    private var decayedAtMs = 0L

    /** Records a request with [workMs] that tolerates a wait of [toleranceMs] milliseconds, or 0 if it cannot be on time. */
    fun record(
        request: AdmissionRequest,
        workMs: Double,
        toleranceMs: Double,
        isServed: Boolean,
    ) {
        val rank = min(request.effectiveRank, ranks - 1)
        demandMs[rank] += workMs
        if (isServed) admittedMs[rank] += workMs
        if (toleranceMs <= 0) return
        val route = routes[rank].getOrPut(request.route.id) { RouteDemand() }
        route.toleranceMs = if (route.workMs == 0.0) toleranceMs else route.toleranceMs + SMOOTHING * (toleranceMs - route.toleranceMs)
        route.workMs += workMs
    }

    /** Returns whether requests of [rank] get less than the guaranteed fraction of what they demand. */
    private fun isBelowGuarantee(rank: Int): Boolean = admittedMs[rank] < demandMs[rank] * settings.guaranteedFraction

    /** Returns the wait in milliseconds beyond which requests of [rank] that can be on time yield to more urgent ones. */
    fun limitMs(rank: Int): Double {
        val index = min(rank, ranks - 1)
        return if (isBelowGuarantee(index)) guaranteedLimitsMs[index] else limitsMs[index]
    }

    /** Returns the wait in milliseconds that a request of [rank] that will be late may cause. */
    fun lateLimitMs(rank: Int): Double = lateLimitsMs[min(rank, ranks - 1)]

    /** Lets the sums decay and computes the limits again. */
    fun tick(nowMs: Long) {
        val decay = exp(-max(0L, nowMs - decayedAtMs) / settings.smoothingMs)
        decayedAtMs = nowMs
        for (rank in 0 until ranks) {
            demandMs[rank] *= decay
            admittedMs[rank] *= decay
            routes[rank].values.forEach { it.workMs *= decay }
            routes[rank].values.removeIf { it.workMs < NEGLIGIBLE_WORK_MS }
        }
        updateLimits()
    }

    private fun updateLimits() {
        val totalMs = demandMs.sum()
        var moreUrgentMs = 0.0
        var toleratedMs = Double.MAX_VALUE
        for (rank in 0 until ranks) {
            guaranteedLimitsMs[rank] = toleratedMs
            limitsMs[rank] =
                if (toleratedMs == Double.MAX_VALUE) {
                    Double.MAX_VALUE
                } else {
                    toleratedMs * (1 - settings.urgentDemandWeight * moreUrgentMs / max(totalMs, NEGLIGIBLE_WORK_MS))
                }
            routes[rank]
                .values
                .filter { it.workMs >= totalMs * settings.minRouteFraction }
                .forEach { toleratedMs = min(toleratedMs, it.toleranceMs) }
            lateLimitsMs[rank] = toleratedMs
            moreUrgentMs += demandMs[rank]
        }
    }

    private companion object {
        const val SMOOTHING = 0.05
        const val NEGLIGIBLE_WORK_MS = 1.0
    }
}

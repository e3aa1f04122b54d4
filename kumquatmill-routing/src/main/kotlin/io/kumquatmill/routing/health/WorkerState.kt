package io.kumquatmill.routing.health

import io.kumquatmill.routing.model.Worker
import java.util.EnumSet
import kotlin.math.floor

/** State of one worker as seen by an entry host. */
internal class WorkerState(
    val worker: Worker,
) {
    var inFlight: Int = 0
    var consecutiveFailures: Int = 0
    var latencyMs: Double = 0.0
    var latencySamples: Int = 0
    var latencyAtMs: Long = 0
    var isEjected: Boolean = false
    var ejectedUntilMs: Long = 0
    var ejectionCount: Int = 0
    var inServiceSinceMs: Long = Long.MIN_VALUE
    var slowStartBeganAtMs: Long? = null
    var slowStartRoundingOffset: Double = 0.0
    var load: WorkerLoad? = null
    var drainResponseAtMs: Long = 0
    var wasInHostList: Boolean = false
    val drainSources: EnumSet<DrainSource> = EnumSet.noneOf(DrainSource::class.java)

    val isDraining: Boolean
        get() = drainSources.isNotEmpty()

    /** Whether the worker may use only some of the slots that this host holds, or none. */
    val isRestricted: Boolean
        get() = isDraining || isEjected || slowStartBeganAtMs != null

    fun recordLatency(
        nowMs: Long,
        sampleMs: Long,
    ) {
        latencyMs = if (latencySamples == 0) sampleMs.toDouble() else latencyMs + LATENCY_SMOOTHING_FACTOR * (sampleMs - latencyMs)
        latencySamples += 1
        latencyAtMs = nowMs
    }

    fun clearLatency() {
        latencyMs = 0.0
        latencySamples = 0
    }

    /** Returns how many of the [heldSlots] may be used at [nowMs]. */
    fun usableSlots(
        nowMs: Long,
        heldSlots: Int,
        settings: HealthSettings,
    ): Int =
        when {
            isDraining -> 0
            isEjected -> if (nowMs < ejectedUntilMs) 0 else minOf(1, heldSlots)
            else -> slowStartSlots(nowMs, heldSlots, settings)
        }

    /** Rounds with a random offset per host, so that the sum over all hosts follows the slow start. */
    private fun slowStartSlots(
        nowMs: Long,
        heldSlots: Int,
        settings: HealthSettings,
    ): Int {
        val startedAtMs = slowStartBeganAtMs ?: return heldSlots
        val elapsedFraction = (nowMs - startedAtMs).toDouble() / settings.slowStartMs
        if (elapsedFraction >= 1.0) {
            slowStartBeganAtMs = null
            return heldSlots
        }
        val fraction = settings.slowStartInitialFraction + (1.0 - settings.slowStartInitialFraction) * elapsedFraction
        return floor(heldSlots * fraction + slowStartRoundingOffset).toInt().coerceAtMost(heldSlots)
    }

    private companion object {
        const val LATENCY_SMOOTHING_FACTOR = 0.2
    }
}

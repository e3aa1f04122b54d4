package io.kumquatmill.traffic.admission

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.UpstreamId
import kotlin.math.exp
import kotlin.math.max

/**
 * Mean queue of the workers of an upstream in a zone, from the loads that they report with their responses.
 *
 * In a large fleet a host hears of each single worker only every few seconds, but of some worker of each zone several times a second.
 */
internal class ObservedWaits {
    private class Mean(
        var sum: Double = 0.0,
        var weight: Double = 0.0,
        var updatedAtMs: Long = 0,
    )

    private val queues = HashMap<Pair<UpstreamId, AvailabilityZoneId>, Mean>()
    private val serviceMs = HashMap<UpstreamId, Double>()

    /** Records a worker with [running] and [waiting] requests and [slots]. */
    fun onLoad(
        nowMs: Long,
        upstream: UpstreamId,
        zone: AvailabilityZoneId,
        running: Int,
        waiting: Int,
        slots: Int,
    ) {
        val mean = queues.getOrPut(upstream to zone) { Mean() }
        val decay = exp(-max(0L, nowMs - mean.updatedAtMs) / DECAY_MS)
        mean.sum = mean.sum * decay + max(0.0, running.toDouble() + waiting - slots + 1) / max(1, slots)
        mean.weight = mean.weight * decay + 1
        mean.updatedAtMs = nowMs
    }

    /** Records a request to [upstream] that is expected to take [serviceMs] milliseconds. */
    fun onServed(
        upstream: UpstreamId,
        serviceMs: Double,
    ) {
        this.serviceMs.merge(upstream, serviceMs) { mean, value -> mean + SMOOTHING * (value - mean) }
    }

    /** Returns the mean wait in milliseconds at the workers of [upstream] in [zone]; it tends to 0 without recent reports. */
    fun waitMs(
        nowMs: Long,
        upstream: UpstreamId,
        zone: AvailabilityZoneId,
    ): Double {
        val mean = queues[upstream to zone] ?: return 0.0
        val decay = exp(-max(0L, nowMs - mean.updatedAtMs) / DECAY_MS)
        return mean.sum * decay / (mean.weight * decay + PRIOR_WEIGHT) * (serviceMs[upstream] ?: 0.0)
    }

    /** Forgets all observations. */
    fun clear() {
        queues.clear()
        serviceMs.clear()
    }

    private companion object {
        /** Time constant in milliseconds: queues change within about a service time. */
        const val DECAY_MS = 500.0
        const val SMOOTHING = 0.05

        /** Weight of an assumed empty queue, which prevails when reports become rare. */
        const val PRIOR_WEIGHT = 0.5
    }
}

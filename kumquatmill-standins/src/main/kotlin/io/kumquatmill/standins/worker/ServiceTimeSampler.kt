package io.kumquatmill.standins.worker

import kotlin.random.Random

/** Samples the random service times of a worker, which are longer during its warm-up. */
internal class ServiceTimeSampler(
    private val settings: WorkerSettings,
    private var coldStartedAtMs: Long,
) {
    private val random = Random(settings.seed)

    /** Restarts the warm-up at [nowMs]. */
    @Synchronized
    fun resetToCold(nowMs: Long) {
        coldStartedAtMs = nowMs
    }

    /** Returns the service time in ms of a request that starts at [nowMs], multiplied by [factor]. */
    @Synchronized
    fun nextMs(
        nowMs: Long,
        factor: Double,
    ): Double {
        val deviation = (2 * random.nextDouble() - 1) * settings.spread
        return settings.serviceMs * (1 + deviation) * coldFactor(nowMs) * factor
    }

    private fun coldFactor(nowMs: Long): Double {
        val elapsedMs = nowMs - coldStartedAtMs
        if (elapsedMs >= settings.coldStartMs) {
            return 1.0
        }
        val remainingFraction = 1 - elapsedMs.toDouble() / settings.coldStartMs
        return 1 + (settings.coldFactor - 1) * remainingFraction
    }
}

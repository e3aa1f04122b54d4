package io.kumquatmill.standins.worker

import kotlin.random.Random

/** Draws service times of a worker, which are longer while it is cold. */
internal class ServiceTime(
    private val settings: WorkerSettings,
    private var coldSinceMs: Long,
) {
    private val random = Random(settings.seed)

    /** Makes the worker cold again from [nowMs] on. */
    @Synchronized
    fun restart(nowMs: Long) {
        coldSinceMs = nowMs
    }

    /** Returns the time that a request takes that starts at [nowMs]. */
    @Synchronized
    fun nextMs(
        nowMs: Long,
        factor: Double,
    ): Double {
        val deviation = (2 * random.nextDouble() - 1) * settings.spread
        return settings.serviceMs * (1 + deviation) * coldFactor(nowMs) * factor
    }

    private fun coldFactor(nowMs: Long): Double {
        val elapsedMs = nowMs - coldSinceMs
        if (elapsedMs >= settings.coldStartMs) {
            return 1.0
        }
        val coldShare = 1 - elapsedMs.toDouble() / settings.coldStartMs
        return 1 + (settings.coldFactor - 1) * coldShare
    }
}

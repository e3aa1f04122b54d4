package io.kumquatmill.scenario.virtual

import kotlin.random.Random

/** Simulated network that delays, loses, duplicates and reorders messages, and can be partitioned. */
class VirtualNetwork(
    private val time: VirtualTime,
    private val delays: NetworkDelays,
    private val random: Random,
) {
    /** Active faults; may be replaced while the simulation runs. */
    var faults: NetworkFaults = NetworkFaults()

    /** Sends a datagram, which may be lost, duplicated or reordered. */
    fun send(
        from: Endpoint,
        to: Endpoint,
        deliver: () -> Unit,
    ) {
        if (random.nextDouble() < faults.lossRate) return
        deliverAfterDelay(from, to, faults.extraDelayMs, deliver)
        if (random.nextDouble() < faults.duplicationRate) deliverAfterDelay(from, to, faults.extraDelayMs, deliver)
    }

    /**
     * Sends a message over a connection, which only a partition can prevent from being delivered once.
     *
     * If a partition separates the endpoints now, calls [onDisconnected] at the sender after a timeout. If a partition starts
     * before the delivery, the message is lost without notice.
     */
    fun sendReliably(
        from: Endpoint,
        to: Endpoint,
        onDisconnected: () -> Unit = {},
        deliver: () -> Unit,
    ) {
        if (faults.isPartitioned(from, to)) {
            time.after(PARTITION_DETECTION_MS, onDisconnected)
        } else {
            deliverAfterDelay(from, to, extraDelayMs = 0, deliver)
        }
    }

    /** Returns a random one-way delay between [from] and [to]. */
    fun delayMs(
        from: Endpoint,
        to: Endpoint,
    ): Long {
        val baseMs =
            when {
                from.region != to.region -> delays.betweenRegionsMs
                from.availabilityZone != to.availabilityZone -> delays.betweenZonesMs
                else -> 0
            }
        return baseMs + random.nextLong(delays.jitterMs + 1)
    }

    private fun deliverAfterDelay(
        from: Endpoint,
        to: Endpoint,
        extraDelayMs: Long,
        deliver: () -> Unit,
    ) {
        if (faults.isPartitioned(from, to)) return
        time.after(delayMs(from, to) + extraDelayMs) {
            if (!faults.isPartitioned(from, to)) deliver()
        }
    }

    private companion object {
        const val PARTITION_DETECTION_MS = 1_000L
    }
}

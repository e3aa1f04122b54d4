package io.kumquatmill.scenario.virtual

import kotlin.random.Random

/** Seeded network that delays, loses, repeats, reorders and cuts what passes between places. */
class VirtualNetwork(
    private val time: VirtualTime,
    private val delays: NetworkDelays,
    private val random: Random,
) {
    /** Faults in force; assign a copy to change them. */
    var faults: NetworkFaults = NetworkFaults()

    /** Delivers a datagram-like message: it may be lost, repeated or overtaken. */
    fun send(
        from: Place,
        to: Place,
        deliver: () -> Unit,
    ) {
        if (random.nextDouble() < faults.lossRate) return
        deliverAfterDelay(from, to, faults.extraDelayMs, deliver)
        if (random.nextDouble() < faults.duplicationRate) deliverAfterDelay(from, to, faults.extraDelayMs, deliver)
    }

    /** Delivers once over a reliable connection, unless the connection is cut; then [onCut] runs at the sender. */
    fun connect(
        from: Place,
        to: Place,
        onCut: () -> Unit = {},
        deliver: () -> Unit,
    ) {
        if (faults.isCut(from, to)) {
            time.after(CUT_DETECTION_MS, onCut)
        } else {
            deliverAfterDelay(from, to, extraDelayMs = 0, deliver)
        }
    }

    /** Returns a delay between [from] and [to], in milliseconds. */
    fun delayMs(
        from: Place,
        to: Place,
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
        from: Place,
        to: Place,
        extraDelayMs: Long,
        deliver: () -> Unit,
    ) {
        if (faults.isCut(from, to)) return
        time.after(delayMs(from, to) + extraDelayMs) {
            if (!faults.isCut(from, to)) deliver()
        }
    }

    private companion object {
        const val CUT_DETECTION_MS = 1_000L
    }
}

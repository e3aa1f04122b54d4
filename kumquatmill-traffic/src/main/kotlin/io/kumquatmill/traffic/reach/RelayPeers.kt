package io.kumquatmill.traffic.reach

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.traffic.fleet.PeerReport
import kotlin.random.Random

/**
 * Chooses the peers through which a host that is cut off from all workers sends its requests, so that they are spread over the nearest
 * ones. All times are milliseconds of one monotonic clock.
 */
internal class RelayPeers(
    private val ownRegion: RegionId?,
    private val settings: ReachSettings,
    private val random: Random,
) {
    private val inFlight = HashMap<String, Int>()
    private val pausedUntilMs = HashMap<String, Long>()

    /**
     * Returns the peer through which a request to a worker of [workerRegion] is sent, or null if there is none.
     *
     * @param reaching peers that have reached workers of late
     * @param homeRegions regions to which the request may be passed, or null for all
     */
    fun choose(
        nowMs: Long,
        reaching: List<PeerReport>,
        workerRegion: RegionId?,
        homeRegions: Set<RegionId>?,
    ): PeerReport? {
        pausedUntilMs.values.removeIf { nowMs >= it }
        return reaching
            .filter { it.host !in pausedUntilMs && (homeRegions == null || RegionId(it.region) in homeRegions) }
            .shuffled(random)
            .minWithOrNull(compareBy({ !isNear(it, workerRegion) }, { inFlight[it.host] ?: 0 }))
    }

    /** Records that a request is sent through [peer]. */
    fun onSent(peer: String) {
        inFlight.merge(peer, 1, Int::plus)
    }

    /** Records that a request that was sent through [peer] has ended. */
    fun onFinished(peer: String) {
        inFlight.computeIfPresent(peer) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Records that [peer] could not be reached, or did not pass a request on. */
    fun onFailed(
        nowMs: Long,
        peer: String,
    ) {
        pausedUntilMs[peer] = nowMs + settings.relayPauseMs
    }

    /** Returns whether the way through [peer] crosses a border between regions no more often than the direct one. */
    private fun isNear(
        peer: PeerReport,
        workerRegion: RegionId?,
    ): Boolean = RegionId(peer.region) == ownRegion || RegionId(peer.region) == workerRegion
}

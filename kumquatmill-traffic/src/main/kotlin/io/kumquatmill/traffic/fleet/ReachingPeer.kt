package io.kumquatmill.traffic.fleet

/**
 * A peer that has reached workers.
 *
 * @property report latest report of the peer
 * @property ageMs time in milliseconds since a worker last responded to it
 */
class ReachingPeer(
    val report: PeerReport,
    val ageMs: Long,
)

package io.kumquatmill.traffic.ratelimit

/**
 * Demand on the pool hosts of a workspace in requests per second; each serves the callers of its region.
 *
 * @property ownPerS demand on this host, or null if it is not a pool host
 * @property peerPerS demand on the other pool hosts by name
 */
internal class PoolDemand(
    val ownPerS: Double?,
    val peerPerS: Map<String, Double>,
)

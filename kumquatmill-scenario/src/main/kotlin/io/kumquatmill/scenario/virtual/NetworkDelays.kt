package io.kumquatmill.scenario.virtual

/**
 * One-way delays of a deployment's network.
 *
 * Each message between hosts, workers and the store is delayed by up to [jitterMs] more.
 */
data class NetworkDelays(
    val betweenZonesMs: Long,
    val betweenRegionsMs: Long,
    val toCallersMs: Long,
    val jitterMs: Long = 1,
)

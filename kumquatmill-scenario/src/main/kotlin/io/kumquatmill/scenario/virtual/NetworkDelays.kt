package io.kumquatmill.scenario.virtual

/** Delays of a deployment's network, one way, in milliseconds. */
data class NetworkDelays(
    val betweenZonesMs: Long,
    val betweenRegionsMs: Long,
    val toCallersMs: Long,
    val jitterMs: Long = 1,
)

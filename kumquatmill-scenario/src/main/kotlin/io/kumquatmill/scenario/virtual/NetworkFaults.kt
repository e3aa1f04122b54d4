package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.id.RegionId

/**
 * Active faults of the network.
 *
 * Loss, duplication and extra delay affect only messages between entry hosts. [partitionedRegions] are disconnected from all other
 * regions, and [partitionedPairs] are pairs of endpoint names that are disconnected from each other.
 */
data class NetworkFaults(
    val lossRate: Double = 0.0,
    val duplicationRate: Double = 0.0,
    val extraDelayMs: Long = 0,
    val partitionedRegions: Set<RegionId> = emptySet(),
    val partitionedPairs: Set<Pair<String, String>> = emptySet(),
) {
    /** Returns whether a partition separates [from] and [to]. */
    fun isPartitioned(
        from: Endpoint,
        to: Endpoint,
    ): Boolean = isPartitionedByRegion(from, to) || from.name to to.name in partitionedPairs || to.name to from.name in partitionedPairs

    private fun isPartitionedByRegion(
        from: Endpoint,
        to: Endpoint,
    ): Boolean = from.region != to.region && (from.region in partitionedRegions || to.region in partitionedRegions)
}

package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.id.RegionId

/** Faults of the network that are in force; loss, duplication and extra delay concern messages between entry hosts. */
data class NetworkFaults(
    val lossRate: Double = 0.0,
    val duplicationRate: Double = 0.0,
    val extraDelayMs: Long = 0,
    val cutRegions: Set<RegionId> = emptySet(),
    val cutPairs: Set<Pair<String, String>> = emptySet(),
) {
    /** Returns whether nothing passes from [from] to [to]. */
    fun isCut(
        from: Place,
        to: Place,
    ): Boolean = isCutByRegion(from, to) || from.name to to.name in cutPairs || to.name to from.name in cutPairs

    private fun isCutByRegion(
        from: Place,
        to: Place,
    ): Boolean = from.region != to.region && (from.region in cutRegions || to.region in cutRegions)
}

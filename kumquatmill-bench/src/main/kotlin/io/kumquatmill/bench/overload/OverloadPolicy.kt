package io.kumquatmill.bench.overload

import io.kumquatmill.traffic.placement.PlacementSettings

/** The decisions as they are, or with one mechanism switched off. */
internal data class OverloadPolicy(
    val name: String,
    val placement: PlacementSettings = PlacementSettings(),
    val hasKeys: Boolean = true,
) {
    companion object {
        val design = OverloadPolicy("design")
        val noKeys = OverloadPolicy("no keys", hasKeys = false)
        val noPull = OverloadPolicy("no pull", PlacementSettings(ownRegionPreference = 1.0))
        val ownRegionOnly = OverloadPolicy("own region only", PlacementSettings(ownRegionPreference = 1e6))
        val oneCandidate = OverloadPolicy("one candidate", PlacementSettings(maxCandidates = 1))
        val noWaitLimit = OverloadPolicy("no wait limit", PlacementSettings(maxWaitFractions = listOf(100.0)))
        val noSpareSlots = OverloadPolicy("cold keys anywhere", PlacementSettings(uncachedKeyMaxLoad = 100.0))

        /** The design first, then each mechanism switched off. */
        val all = listOf(design, noKeys, noPull, ownRegionOnly, oneCandidate, noWaitLimit, noSpareSlots)
    }
}

package io.kumquatmill.bench.overload

import io.kumquatmill.traffic.admission.AdmissionMode
import io.kumquatmill.traffic.admission.AdmissionSettings
import io.kumquatmill.traffic.placement.PlacementSettings

/** The design, with all its mechanisms or with one of them disabled. */
internal data class OverloadPolicy(
    val name: String,
    val placement: PlacementSettings = PlacementSettings(),
    val hasAffinityKeys: Boolean = true,
    val admission: AdmissionSettings = AdmissionSettings(),
) {
    companion object {
        val design = OverloadPolicy("design")
        val noAffinityKeys = OverloadPolicy("no keys", hasAffinityKeys = false)
        val noRegionPreference = OverloadPolicy("no pull", PlacementSettings(ownRegionPreference = 1.0))
        val ownRegionOnly = OverloadPolicy("own region only", PlacementSettings(ownRegionPreference = 1e6))
        val oneCandidate = OverloadPolicy("one candidate", PlacementSettings(maxCandidates = 1))
        val noWaitLimit = OverloadPolicy("no wait limit", PlacementSettings(maxWaitFractions = listOf(100.0)))
        val noColdKeyLimit = OverloadPolicy("cold keys anywhere", PlacementSettings(uncachedKeyMaxLoad = 100.0))

        val noReportedSpeed = OverloadPolicy("no reported speed", PlacementSettings(reportedSpeedTtlMs = 0))
        val noSharedLoads = OverloadPolicy("no shared loads", PlacementSettings(sharedLoadsPerReport = 0))
        val byTarget = OverloadPolicy("by target", admission = AdmissionSettings(AdmissionMode.BY_TARGET))
        val byCost = OverloadPolicy("by cost", admission = AdmissionSettings(AdmissionMode.BY_COST))
        val ownWorkersOnly = OverloadPolicy("no zone waits", admission = AdmissionSettings(AdmissionMode.BY_COST, zoneWaitWeight = 0.0))

        /** The design, followed by the variants with one mechanism disabled. */
        val all =
            listOf(
                design,
                noAffinityKeys,
                noRegionPreference,
                ownRegionOnly,
                oneCandidate,
                noWaitLimit,
                noColdKeyLimit,
                noReportedSpeed,
                noSharedLoads,
                byTarget,
                byCost,
                ownWorkersOnly,
            )
    }
}

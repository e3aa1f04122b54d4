package io.kumquatmill.traffic.desk

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.traffic.allowance.AllowanceSettings
import io.kumquatmill.traffic.fleet.FleetSettings
import io.kumquatmill.traffic.placement.PlacementSettings

/**
 * Settings of a [TrafficDesk].
 *
 * @property zones region of each availability zone
 * @property retryRatio repeats that each request earns, over all hosts
 * @property retryReserve repeats beyond it within [retryWindowMs], over all hosts
 * @property coldOver how far a cold worker's rate may be passed
 * @property coldSlack requests in a second that it may be passed by in addition
 */
data class TrafficSettings(
    val zones: Map<AvailabilityZoneId, RegionId>,
    val retryRatio: Double,
    val retryReserve: Double,
    val retryWindowMs: Long,
    val coldOver: Double,
    val coldSlack: Double,
    val fleet: FleetSettings = FleetSettings(),
    val allowance: AllowanceSettings = AllowanceSettings(),
    val placement: PlacementSettings = PlacementSettings(),
)

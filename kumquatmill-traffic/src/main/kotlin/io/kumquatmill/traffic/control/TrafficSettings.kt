package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.traffic.fleet.FleetSettings
import io.kumquatmill.traffic.placement.PlacementSettings
import io.kumquatmill.traffic.ratelimit.RateLimitSettings

/**
 * Settings of a [TrafficController].
 *
 * @property regionByZone region of each availability zone
 * @property retryRatio retries that each request adds to the retry budget, over all hosts
 * @property retryReserve retries beyond [retryRatio] within [retryWindowMs], over all hosts
 * @property coldRateFactor how many times the rate of a cold worker all hosts together may reach
 * @property coldRateSlack requests in any second that all hosts together may send to a cold worker in addition
 */
data class TrafficSettings(
    val regionByZone: Map<AvailabilityZoneId, RegionId>,
    val retryRatio: Double,
    val retryReserve: Double,
    val retryWindowMs: Long,
    val coldRateFactor: Double,
    val coldRateSlack: Double,
    val fleet: FleetSettings = FleetSettings(),
    val rateLimit: RateLimitSettings = RateLimitSettings(),
    val placement: PlacementSettings = PlacementSettings(),
)

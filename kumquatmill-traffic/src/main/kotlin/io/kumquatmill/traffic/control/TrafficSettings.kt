package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.traffic.admission.AdmissionSettings
import io.kumquatmill.traffic.crash.CrashSettings
import io.kumquatmill.traffic.fleet.FleetSettings
import io.kumquatmill.traffic.leaving.LeavingSettings
import io.kumquatmill.traffic.pause.PauseSettings
import io.kumquatmill.traffic.placement.PlacementSettings
import io.kumquatmill.traffic.ratelimit.RateLimitSettings
import io.kumquatmill.traffic.reach.ReachSettings
import io.kumquatmill.traffic.workerlimit.WorkerLimitSettings

/**
 * Settings of a [TrafficController].
 *
 * @property regionByZone region of each availability zone
 * @property retryRatio number of retries, usually a fraction, that each request adds to the retry budget
 * @property retryReserve retries beyond [retryRatio] that all hosts together may make within [retryWindowMs]
 * @property retryWindowMs time in milliseconds over which the retry budget applies
 * @property coldRateFactor multiple of a cold worker's rate limit that all hosts together may reach
 * @property coldRateSlack additional requests that all hosts together may send to a cold worker in any second
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
    val workerLimit: WorkerLimitSettings = WorkerLimitSettings(),
    val crash: CrashSettings = CrashSettings(),
    val reach: ReachSettings = ReachSettings(),
    val leaving: LeavingSettings = LeavingSettings(),
    val pause: PauseSettings = PauseSettings(),
    val admission: AdmissionSettings = AdmissionSettings(),
)

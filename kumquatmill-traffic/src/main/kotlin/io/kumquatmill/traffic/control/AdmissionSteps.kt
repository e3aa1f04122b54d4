package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.ratelimit.RateLimitDecision

/**
 * Steps of [RequestAdmission] that change state when a request is admitted, and do not when the decision is only previewed.
 *
 * @property quarantinedForMs returns the time in milliseconds for which a request is still quarantined, or null if it is not
 * @property takeToken returns the decision of the rate limit on a request that may wait for the given time in milliseconds
 * @property nextUpstream returns the upstream of the next request of a route, or null if the route has none
 */
internal class AdmissionSteps(
    val quarantinedForMs: (nowMs: Long, fingerprint: RequestFingerprint) -> Long?,
    val takeToken: (nowMs: Long, workspace: WorkspaceId, maxWaitMs: Long) -> RateLimitDecision,
    val nextUpstream: (route: TrafficRoute) -> UpstreamId?,
)

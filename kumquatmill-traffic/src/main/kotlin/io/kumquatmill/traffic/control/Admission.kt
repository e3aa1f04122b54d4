package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.ratelimit.RateLimitDecision

/** Decision of [RequestAdmission] on a request. */
internal sealed interface Admission {
    /** The request may be sent to [upstream], now or once [rateLimit] grants it a token. */
    class Admitted(
        val rateLimit: RateLimitDecision,
        val upstream: UpstreamId,
    ) : Admission

    /** The request is refused with [action]. */
    class Refused(
        val action: RequestAction.Refuse,
    ) : Admission
}

package io.kumquatmill.common.outcome

import kotlinx.serialization.Serializable

/** Why a request was refused; [wireName] and [httpStatus] are part of the public API for callers. */
@Serializable
enum class RefusalReason(
    val wireName: String,
    val httpStatus: Int,
) {
    MALFORMED_REQUEST("malformed-request", 400),
    KEY_MISSING("key-missing", 401),
    KEY_UNKNOWN("key-unknown", 401),
    ROUTE_NOT_IN_PLAN("route-not-in-plan", 403),
    ROUTE_UNKNOWN("route-unknown", 404),
    METHOD_NOT_ALLOWED("method-not-allowed", 405),
    BODY_TOO_LARGE("body-too-large", 413),
    RATE_EXCEEDED("rate-exceeded", 429),
    QUEUE_FULL("queue-full", 503),
    NO_CAPACITY("no-capacity", 503),
    SHIFT_CAPPED("shift-capped", 503),
    LINK_FULL("link-full", 503),
    HOST_STOPPING("host-stopping", 503),
    HOST_ISOLATED("host-isolated", 503),
    HOST_STARTING("host-starting", 503),
    DUPLICATE_REQUEST("duplicate-request", 409),
    DEADLINE_EXCEEDED("deadline-exceeded", 504),
    UPSTREAM_FAILED("upstream-failed", 502),
    INTERNAL_FAULT("internal-fault", 500),
}

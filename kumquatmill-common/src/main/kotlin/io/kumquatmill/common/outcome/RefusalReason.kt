package io.kumquatmill.common.outcome

import kotlinx.serialization.Serializable

/** Why a request was refused; [wireName] and [httpStatus] are part of the public API for callers. */
@Serializable
enum class RefusalReason(
    val wireName: String,
    val httpStatus: Int,
) {
    /** The request is not valid HTTP, or a header or the body is malformed or incomplete. */
    MALFORMED_REQUEST("malformed-request", 400),

    /** The route needs a key and the request has none. */
    KEY_MISSING("key-missing", 401),

    /** The key is not granted to any workspace. */
    KEY_UNKNOWN("key-unknown", 401),

    /** The plan of the workspace does not include the route. */
    ROUTE_NOT_IN_PLAN("route-not-in-plan", 403),

    /** No route matches the request. */
    ROUTE_UNKNOWN("route-unknown", 404),

    /** The route does not accept the method of the request. */
    METHOD_NOT_ALLOWED("method-not-allowed", 405),

    /** The body exceeds the maximum size. */
    BODY_TOO_LARGE("body-too-large", 413),

    /** The rate and burst of the workspace's plan are used up. */
    RATE_EXCEEDED("rate-exceeded", 429),

    /** Too many requests are waiting. */
    QUEUE_FULL("queue-full", 503),

    /** There is no capacity for the request, such as a worker with a free slot before the deadline. */
    NO_CAPACITY("no-capacity", 503),

    /** The rate at which requests may be shifted to other regions is used up. */
    SHIFT_CAPPED("shift-capped", 503),

    /** The links to the other regions have no capacity left. */
    LINK_FULL("link-full", 503),

    /** The entry host is stopping and accepts no new requests. */
    HOST_STOPPING("host-stopping", 503),

    /** The entry host has lost its standing, or cannot confirm that its configuration is current. */
    HOST_ISOLATED("host-isolated", 503),

    /** The entry host has no configuration or no standing yet. */
    HOST_STARTING("host-starting", 503),

    /** A request with the same idempotency key was received before. */
    DUPLICATE_REQUEST("duplicate-request", 409),

    /** The deadline of the request has passed. */
    DEADLINE_EXCEEDED("deadline-exceeded", 504),

    /** A worker could not be reached or sent no complete response. */
    UPSTREAM_FAILED("upstream-failed", 502),

    /** The entry host failed to process the request. */
    INTERNAL_FAULT("internal-fault", 500),
}

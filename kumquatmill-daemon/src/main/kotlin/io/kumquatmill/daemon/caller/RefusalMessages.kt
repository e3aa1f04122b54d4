package io.kumquatmill.daemon.caller

import io.kumquatmill.common.outcome.RefusalReason

private val callerMessages =
    mapOf(
        RefusalReason.MALFORMED_REQUEST to "the request is malformed: correct it and send it again",
        RefusalReason.KEY_MISSING to "the route requires a key: send Authorization: Bearer KEY",
        RefusalReason.KEY_UNKNOWN to "the key is not valid: ask the operator for a key",
        RefusalReason.ROUTE_NOT_IN_PLAN to "the plan does not include this route: ask the operator for another plan",
        RefusalReason.ROUTE_UNKNOWN to "the route does not exist: check the path",
        RefusalReason.METHOD_NOT_ALLOWED to "the route does not support this method: use another method",
        RefusalReason.BODY_TOO_LARGE to "the body is too large: send a smaller one",
        RefusalReason.RATE_EXCEEDED to "the rate of the plan is exceeded: retry later",
        RefusalReason.QUEUE_FULL to "too many requests are queued: retry later",
        RefusalReason.NO_CAPACITY to "no worker has free capacity: retry later",
        RefusalReason.LINK_FULL to "the links between regions are at capacity: retry later",
        RefusalReason.SHIFT_CAPPED to "the limit on traffic shifted between regions is reached: retry later",
        RefusalReason.HOST_STOPPING to "this entry host is shutting down: look up another one",
        RefusalReason.HOST_ISOLATED to "this entry host is isolated from the fleet: use another one or retry later",
        RefusalReason.HOST_STARTING to "this entry host is starting: use another one or retry later",
        RefusalReason.DUPLICATE_REQUEST to "a request with this idempotency key was already sent: query its state",
        RefusalReason.DEADLINE_EXCEEDED to "the deadline was exceeded: retry later",
        RefusalReason.UPSTREAM_FAILED to "the worker sent no complete response: check the state before you repeat the request",
        RefusalReason.INTERNAL_FAULT to "this entry host failed internally: use another one and report the request id",
    )

/** Default error message for the caller: what went wrong and how to proceed. */
internal val RefusalReason.callerMessage: String
    get() = callerMessages[this] ?: "the request was refused with reason $wireName: retry later"

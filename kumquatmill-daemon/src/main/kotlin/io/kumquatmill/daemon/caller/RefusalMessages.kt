package io.kumquatmill.daemon.caller

import io.kumquatmill.common.outcome.RefusalReason

private val callerMessages =
    mapOf(
        RefusalReason.MALFORMED_REQUEST to "the request is malformed: correct it",
        RefusalReason.KEY_MISSING to "the route needs a key: send Authorization: Bearer KEY",
        RefusalReason.KEY_UNKNOWN to "the key is not granted: ask the operator for a key",
        RefusalReason.ROUTE_NOT_IN_PLAN to "the plan has no such route: ask the operator for another plan",
        RefusalReason.ROUTE_UNKNOWN to "there is no such route: check the path",
        RefusalReason.METHOD_NOT_ALLOWED to "the route does not take this method: use another",
        RefusalReason.BODY_TOO_LARGE to "the body is too large: send less",
        RefusalReason.RATE_EXCEEDED to "the rate of the plan is used up: come back later",
        RefusalReason.QUEUE_FULL to "too many requests wait: come back later",
        RefusalReason.NO_CAPACITY to "no worker has room: come back later",
        RefusalReason.LINK_FULL to "the links between regions are full: come back later",
        RefusalReason.SHIFT_CAPPED to "traffic is being moved between regions: come back later",
        RefusalReason.HOST_STOPPING to "this entry host stops: look up another",
        RefusalReason.HOST_ISOLATED to "this entry host is cut off: use another or come back later",
        RefusalReason.HOST_STARTING to "this entry host starts: use another or come back later",
        RefusalReason.DUPLICATE_REQUEST to "a request with this idempotency key was sent before: ask for its state",
        RefusalReason.DEADLINE_EXCEEDED to "the deadline has passed: come back later",
        RefusalReason.UPSTREAM_FAILED to "the worker gave no complete answer: check the state before you repeat it",
        RefusalReason.INTERNAL_FAULT to "this entry host failed: use another and report the request id",
    )

/** Default error message for the caller: what went wrong and how to proceed. */
internal val RefusalReason.callerMessage: String
    get() = callerMessages[this] ?: "the request was refused as $wireName: come back later"

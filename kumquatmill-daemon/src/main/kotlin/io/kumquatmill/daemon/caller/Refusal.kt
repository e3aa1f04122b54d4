package io.kumquatmill.daemon.caller

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.outcome.wireName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status

private const val MS_PER_S = 1_000L

/** Body of an answer that says why a request was not served. */
@Serializable
internal data class RefusalBody(
    val error: String,
    val message: String,
    val outcome: String,
    val retryAfterMs: Long,
    val requestId: String?,
)

/** Returns the answer for a request that ended in [outcome]; [detail] replaces the usual message. */
internal fun refusalResponse(
    outcome: Outcome.NotRun,
    request: RequestId?,
    detail: String? = null,
): Response = refusalResponse(outcome.wireName, outcome.reason, outcome.retryAfterMs, request, detail)

/** Returns the answer for a request of which it is unknown whether it ran. */
internal fun refusalResponse(
    outcome: Outcome.Unknown,
    request: RequestId?,
): Response = refusalResponse(outcome.wireName, outcome.reason, outcome.retryAfterMs, request, null)

private fun refusalResponse(
    outcome: String,
    reason: RefusalReason,
    retryAfterMs: Long,
    request: RequestId?,
    detail: String?,
): Response {
    val body = RefusalBody(reason.wireName, detail ?: reason.remedy(), outcome, retryAfterMs, request?.value)
    val response =
        Response(Status(reason.httpStatus, null))
            .header("Content-Type", "application/json")
            .header(HeaderNames.RETRY_AFTER, retryAfterSeconds(retryAfterMs).toString())
            .header(HeaderNames.OUTCOME, outcome)
            .header(HeaderNames.REASON, reason.wireName)
            .body(Json.encodeToString(RefusalBody.serializer(), body))
    return if (request == null) response else response.header(HeaderNames.REQUEST_ID, request.value)
}

/** Returns [retryAfterMs] in whole seconds, rounded up, at least 1. */
internal fun retryAfterSeconds(retryAfterMs: Long): Long = maxOf(1, (retryAfterMs + MS_PER_S - 1) / MS_PER_S)

private fun RefusalReason.remedy(): String =
    when (this) {
        RefusalReason.MALFORMED_REQUEST -> "the request is malformed: correct it"
        RefusalReason.KEY_MISSING -> "the route needs a key: send Authorization: Bearer KEY"
        RefusalReason.KEY_UNKNOWN -> "the key is not granted: ask the operator for a key"
        RefusalReason.ROUTE_NOT_IN_PLAN -> "the plan has no such route: ask the operator for another plan"
        RefusalReason.ROUTE_UNKNOWN -> "there is no such route: check the path"
        RefusalReason.METHOD_NOT_ALLOWED -> "the route does not take this method: use another"
        RefusalReason.BODY_TOO_LARGE -> "the body is too large: send less"
        RefusalReason.RATE_EXCEEDED -> "the rate of the plan is used up: come back later"
        RefusalReason.QUEUE_FULL -> "too many requests wait: come back later"
        RefusalReason.NO_CAPACITY -> "no worker has room: come back later"
        RefusalReason.LINK_FULL -> "the links between regions are full: come back later"
        RefusalReason.SHIFT_CAPPED -> "traffic is being moved between regions: come back later"
        RefusalReason.HOST_STOPPING -> "this entry host stops: look up another"
        RefusalReason.HOST_ISOLATED -> "this entry host is cut off: use another or come back later"
        RefusalReason.HOST_STARTING -> "this entry host starts: use another or come back later"
        RefusalReason.DUPLICATE_REQUEST -> "a request with this idempotency key was sent before: ask for its state"
        RefusalReason.DEADLINE_EXCEEDED -> "the deadline has passed: come back later"
        RefusalReason.UPSTREAM_FAILED -> "the worker gave no complete answer: check the state before you repeat it"
        RefusalReason.INTERNAL_FAULT -> "this entry host failed: use another and report the request id"
    }

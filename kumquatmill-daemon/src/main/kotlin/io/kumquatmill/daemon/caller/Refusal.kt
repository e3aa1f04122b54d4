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

/**
 * JSON body of a refusal.
 *
 * [error] is the wire name of the reason and [outcome] that of the outcome. [requestId] is null if the request was refused
 * before it got an identifier.
 */
@Serializable
internal data class RefusalBody(
    val error: String,
    val message: String,
    val outcome: String,
    val retryAfterMs: Long,
    val requestId: String?,
)

/** Returns the response to a request that did not run. A non-null [detail] replaces the default message of the reason. */
internal fun refusalResponse(
    outcome: Outcome.NotRun,
    request: RequestId?,
    detail: String? = null,
): Response = refusalResponse(outcome.wireName, outcome.reason, outcome.retryAfterMs, request, detail)

/** Returns the response to a request that may or may not have run. */
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
    val body = RefusalBody(reason.wireName, detail ?: reason.callerMessage, outcome, retryAfterMs, request?.value)
    val response =
        Response(Status(reason.httpStatus, null))
            .header("Content-Type", "application/json")
            .header(HeaderNames.RETRY_AFTER, retryAfterSeconds(retryAfterMs).toString())
            .header(HeaderNames.OUTCOME, outcome)
            .header(HeaderNames.REASON, reason.wireName)
            .body(Json.encodeToString(RefusalBody.serializer(), body))
    return if (request == null) response else response.header(HeaderNames.REQUEST_ID, request.value)
}

/** Converts [retryAfterMs] to whole seconds, rounded up, with a minimum of 1. */
internal fun retryAfterSeconds(retryAfterMs: Long): Long = maxOf(1, (retryAfterMs + MS_PER_S - 1) / MS_PER_S)

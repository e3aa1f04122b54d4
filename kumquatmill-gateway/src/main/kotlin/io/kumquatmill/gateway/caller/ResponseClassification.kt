package io.kumquatmill.gateway.caller

import io.kumquatmill.common.http.ResponseHeadRules
import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.traffic.control.AnswerDoubt
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.StatedRateLimit
import io.kumquatmill.traffic.control.WorkerLoad
import io.undertow.util.HeaderMap
import kotlin.math.roundToInt

private const val MISDIRECTED_REQUEST = 421
private val successStatuses = 200..299

/** Statuses with which a worker may state that it has not executed a request. */
private val notExecutedStatuses = setOf(400, MISDIRECTED_REQUEST, 429, 503)

/**
 * Classifies a complete [response] to request [id]: whether it belongs to that request, and whether the worker executed it. A response
 * that cannot be trusted is [AttemptResult.Unknown].
 *
 * A statement that the request was not executed allows it to be sent again. It counts only in a response that names this request and no
 * other, has a status that goes with it, bears no proof of a worker, and came on a connection that had not carried the request before.
 */
internal fun classifyResponse(
    response: CallResult.Response,
    id: String,
    headerNames: HttpHeaderNames,
): AttemptResult {
    val proofs = response.headers.count(headerNames.workerProof)
    val statusFlaw = ResponseHeadRules.statusFlaw(response.status)
    val flaw = identityFlaw(response, id, headerNames)
    val isRefusal = response.status == MISDIRECTED_REQUEST || response.header(headerNames.notExecuted) != null
    return when {
        statusFlaw != null -> doubted(AnswerDoubt.FRAMING, statusFlaw)
        flaw != null -> doubted(AnswerDoubt.IDENTITY, flaw)
        proofs > 1 -> doubted(AnswerDoubt.PROOF, "the answer bears the proof of several answers")
        isRefusal -> classifyRefusal(response, hasProof = proofs > 0, headerNames)
        response.header("Content-Encoding") != null -> AttemptResult.Unknown("the answer is encoded, which nobody asked for")
        response.status in successStatuses && proofs == 0 ->
            doubted(AnswerDoubt.PROOF, "the answer bears no proof of a worker")
        else ->
            AttemptResult.Answered(response.status, parseWorkerLoad(response, headerNames), parseRateLimit(response, headerNames))
    }
}

private fun classifyRefusal(
    response: CallResult.Response,
    hasProof: Boolean,
    headerNames: HttpHeaderNames,
): AttemptResult =
    when {
        hasProof -> doubted(AnswerDoubt.PROMISE, "the answer says that the request has not run and bears the proof of a worker")
        response.use?.isRepeat == true ->
            doubted(AnswerDoubt.REPEAT, "the answer may be the copy of an earlier refusal on its connection")
        response.status == MISDIRECTED_REQUEST -> AttemptResult.Misdirected
        response.status !in notExecutedStatuses ->
            doubted(AnswerDoubt.PROMISE, "the answer says that the request has not run with status ${response.status}")
        else -> AttemptResult.Shed(parseWorkerLoad(response, headerNames), parseRateLimit(response, headerNames))
    }

private fun doubted(
    doubt: AnswerDoubt,
    detail: String,
) = AttemptResult.Unknown(detail, doubt = doubt)

/** Returns why [response] may be that to another request than [id], or null if it names this one alone. */
internal fun identityFlaw(
    response: CallResult.Response,
    id: String,
    headerNames: HttpHeaderNames,
): String? {
    if (response.header(headerNames.requestId) == null) return "the answer names no request"
    return otherIdFlaw(response, id, headerNames.requestId)
}

/** Returns whether an answer with [headers] names request [id] and no other. */
internal fun namesOnly(
    headers: HeaderMap,
    id: String?,
    idHeader: String,
): Boolean = id != null && headers.get(idHeader).orEmpty().let { ids -> ids.any() && ids.all { it == id } }

/** Returns which request other than [id] the header [idHeader] of [response] names, as a flaw, or null if it names no other. */
internal fun otherIdFlaw(
    response: CallResult.Response,
    id: String,
    idHeader: String,
): String? =
    response.headers
        .get(idHeader)
        ?.firstOrNull { it != id }
        ?.let { "the answer belongs to request $it" }

/**
 * Returns the load from the header of [response], which has the form "running,waiting,slots" with further values behind it, of which the
 * first is the current service time in percent. Values that are not valid are null, values behind the known ones are ignored; the load is
 * null if the header is absent, has fewer than three values, or none that is valid.
 */
private fun parseWorkerLoad(
    response: CallResult.Response,
    headerNames: HttpHeaderNames,
): WorkerLoad? {
    val fields = response.header(headerNames.workerLoad)?.split(',', limit = KNOWN_LOAD_FIELDS + 1) ?: return null
    if (fields.size < MIN_LOAD_FIELDS) return null
    val (running, waiting, slots) = fields.take(MIN_LOAD_FIELDS).map { field -> field.trim().toIntOrNull()?.takeIf { it >= 0 } }
    val servicePercent = fields.getOrNull(MIN_LOAD_FIELDS)?.let(::parseServicePercent)
    return WorkerLoad(running, waiting, slots, servicePercent).takeIf { it != unknownLoad }
}

/** Returns the service time in percent that [text] states, rounded, or null if it is no number or outside the accepted range. */
private fun parseServicePercent(text: String): Int? =
    parseDecimal(text)
        ?.takeIf { it > 0 && it <= MAX_SERVICE_PERCENT }
        ?.let { maxOf(1, it.roundToInt()) }

/** Returns the rate limit that [response] names; the lowest one if it names several, and at most [MAX_RATE_LIMIT_PER_S]. */
private fun parseRateLimit(
    response: CallResult.Response,
    headerNames: HttpHeaderNames,
): StatedRateLimit {
    val values = response.headers.get(headerNames.workerRateLimit)
    if (values.isNullOrEmpty()) return StatedRateLimit.None
    val lowestPerS = values.mapNotNull(::parseDecimal).minOrNull() ?: return StatedRateLimit.Invalid
    return StatedRateLimit.Named(minOf(lowestPerS, MAX_RATE_LIMIT_PER_S))
}

internal fun parseDecimal(text: String): Double? =
    text
        .trim()
        .takeIf { it.length <= MAX_NUMBER_LENGTH && decimalPattern.matches(it) }
        ?.toDouble()

private const val MIN_LOAD_FIELDS = 3
private const val KNOWN_LOAD_FIELDS = 4
private const val MAX_SERVICE_PERCENT = 10_000
private val unknownLoad = WorkerLoad(running = null, waiting = null, slots = null)

/** No worker takes more, so a higher limit has no effect. */
private const val MAX_RATE_LIMIT_PER_S = 1_000_000.0
private const val MAX_NUMBER_LENGTH = 64
private val decimalPattern = Regex("(?:[0-9]+(?:\\.[0-9]*)?|\\.[0-9]+)(?:[eE][+-]?[0-9]{1,3})?")

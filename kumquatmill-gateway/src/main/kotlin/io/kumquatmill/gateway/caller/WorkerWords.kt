package io.kumquatmill.gateway.caller

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.leaving.WorkerWord
import io.kumquatmill.traffic.pause.StatedPause
import io.undertow.util.HeaderMap
import io.undertow.util.Headers
import java.time.DateTimeException
import java.time.Instant
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeParseException
import kotlin.math.ceil

private const val MISDIRECTED_REQUEST = 421
private const val SERVICE_UNAVAILABLE = 503
private const val MILLIS_PER_SECOND = 1_000.0

/** Longest pause that is read, in milliseconds. */
private const val MAX_STATED_MS = 1_000_000_000.0
private val digits = Regex("[0-9]+")

/** Value with which a worker says that it leaves. */
private const val LEAVING = "1"

/**
 * Returns what the head of an answer with [status] and [headers] says about the worker at the other end of its connection, or null if it
 * says nothing. That the worker leaves counts in any answer, also one that belongs to another request than [id]. A pause counts only in a
 * 503 that names this request and no other and is the first answer to it on its connection, as it may be a copy otherwise.
 */
internal fun parseWorkerWord(
    status: Int,
    headers: HeaderMap,
    id: String?,
    isFirstAnswer: Boolean,
    headerNames: HttpHeaderNames,
): WorkerWord? {
    val isLeaving = headers.valuesOf(headerNames.leaving).any { it.trim() == LEAVING }
    val mayPause = status == SERVICE_UNAVAILABLE && isFirstAnswer && namesOnly(headers, id, headerNames.requestId)
    val pause = if (mayPause) parsePause(headers) else StatedPause.None
    if (!isLeaving && pause == StatedPause.None) return null
    val names =
        headers
            .valuesOf(headerNames.workerId)
            .map { it.trim() }
            .filter { it.isNotEmpty() }
            .distinct()
    // An answer that names several workers may consist of parts of several answers.
    if (names.size > 1) return null
    return WorkerWord(isLeaving, isMisdirected = status == MISDIRECTED_REQUEST, names.singleOrNull()?.let { WorkerId(it) }, pause)
}

/**
 * Returns the time for which a refusal with [headers] says that its worker wants no requests: seconds, which may have a fraction, or a
 * date, which counts from the date of the answer, so that the clocks of worker and host need not agree. The longest of several counts. What
 * cannot be read, such as a negative time, or a date in an answer without one, does not count.
 */
internal fun parsePause(headers: HeaderMap): StatedPause {
    val values = headers.get(Headers.RETRY_AFTER).orEmpty().toList()
    if (values.isEmpty()) return StatedPause.None
    val answeredAt = headers.getFirst(Headers.DATE)?.let { parseDate(it) }
    val longestMs = values.flatMap { pauseTimesMs(it, answeredAt) }.maxOrNull() ?: return StatedPause.Invalid
    return if (longestMs <= 0) StatedPause.None else StatedPause.Named(ceil(minOf(longestMs, MAX_STATED_MS)).toLong())
}

private fun pauseTimesMs(
    value: String,
    answeredAt: Instant?,
): List<Double> {
    parseDate(value)?.let { date -> return listOfNotNull(answeredAt?.let { (date.toEpochMilli() - it.toEpochMilli()).toDouble() }) }
    return value.split(',').mapNotNull { parseSeconds(it.trim()) }.map { it * MILLIS_PER_SECOND }
}

private fun parseSeconds(text: String): Double? = parseDecimal(text) ?: if (digits.matches(text)) Double.MAX_VALUE else null

private fun parseDate(text: String): Instant? =
    try {
        Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(text.trim()))
    } catch (_: DateTimeParseException) {
        null
    } catch (_: DateTimeException) {
        null
    }

private fun HeaderMap.valuesOf(name: String?): List<String> = name?.let { get(it) }.orEmpty().toList()

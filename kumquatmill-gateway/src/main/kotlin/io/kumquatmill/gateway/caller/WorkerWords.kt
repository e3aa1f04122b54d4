package io.kumquatmill.gateway.caller

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.leaving.WorkerWord
import io.undertow.util.HeaderMap

private const val MISDIRECTED_REQUEST = 421

/** Value with which a worker says that it leaves. */
private const val LEAVING = "1"

/**
 * Returns what the head of an answer with [status] and [headers] says about the worker at the other end of its connection, or null if it
 * says nothing. That the worker leaves counts in any answer, also one that belongs to another request.
 */
internal fun parseWorkerWord(
    status: Int,
    headers: HeaderMap,
    headerNames: HttpHeaderNames,
): WorkerWord? {
    val isLeaving = headers.valuesOf(headerNames.leaving).any { it.trim() == LEAVING }
    if (!isLeaving) return null
    val names =
        headers
            .valuesOf(headerNames.workerId)
            .map { it.trim() }
            .filter { it.isNotEmpty() }
            .distinct()
    // An answer that names several workers may consist of parts of several answers.
    if (names.size > 1) return null
    return WorkerWord(isLeaving, isMisdirected = status == MISDIRECTED_REQUEST, names.singleOrNull()?.let { WorkerId(it) })
}

private fun HeaderMap.valuesOf(name: String?): List<String> = name?.let { get(it) }.orEmpty().toList()

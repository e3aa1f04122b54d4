package io.kumquatmill.gateway.caller

import io.kumquatmill.gateway.http.CallEnd
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.WorkerLoad

private const val MISDIRECTED = 421
private val success = 200..299

/** Returns what a whole [answer] says of request [id]: whether it belongs to it, and whether the request has run. */
internal fun resultOfAnswer(
    answer: CallEnd.Answered,
    id: String,
    names: WireNames,
): AttemptResult {
    val echoed = answer.header(names.requestId)
    val isOther = echoed != null && echoed != id
    return when {
        isOther -> AttemptResult.Unknown("the answer belongs to request $echoed")
        answer.status == MISDIRECTED -> AttemptResult.Misdirected
        answer.header(names.notRun) != null -> AttemptResult.Shed(loadOf(answer, names))
        echoed == null -> AttemptResult.Unknown("the answer names no request")
        answer.header("Content-Encoding") != null -> AttemptResult.Unknown("the answer is encoded, which nobody asked for")
        answer.status in success && answer.header(names.proof) == null -> AttemptResult.Unknown("the answer bears no proof of a worker")
        else -> AttemptResult.Answered(answer.status, loadOf(answer, names))
    }
}

private fun loadOf(
    answer: CallEnd.Answered,
    names: WireNames,
): WorkerLoad? {
    val numbers = answer.header(names.load)?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
    return if (numbers.size == LOAD_NUMBERS) WorkerLoad(numbers[0], numbers[1], numbers[2]) else null
}

private const val LOAD_NUMBERS = 3
